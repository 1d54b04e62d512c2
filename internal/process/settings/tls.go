package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

// Config returns the TLS configuration of a listener, nil for a plain one. field
// is the listener's field in the settings, for error messages. With a certificate
// authority, the configuration suits both the server and the client of a mutually
// authenticated connection.
func (l *Listener) Config(field string) (*tls.Config, error) {
	if l.TLS == nil {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(l.TLS.CertificateFile, l.TLS.KeyFile)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "name a matching pair of PEM files", "settings: field %q cannot be used", field+".tls")
	}
	config := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	if l.TLS.AuthorityFile == "" {
		return config, nil
	}
	authorities, err := readAuthorities(field, l.TLS.AuthorityFile)
	if err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = authorities
	config.RootCAs = authorities
	return config, nil
}

func readAuthorities(field, path string) (*x509.CertPool, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "name a readable PEM file", "settings: field %q cannot be used", field+".tls.authorityFile")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, invalid(field+".tls.authorityFile", "name a PEM file with certificates", "holds no certificate")
	}
	return pool, nil
}
