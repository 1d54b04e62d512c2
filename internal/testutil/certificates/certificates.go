// Package certificates makes an authority and key pairs for tests of TLS.
package certificates

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/process/settings"
)

// Authority signs certificates for 127.0.0.1.
type Authority struct {
	t           testing.TB
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
	// File is the PEM file of the authority's certificate.
	File string
}

// New returns an authority whose files lie in a folder of the test.
func New(t testing.TB, name string) *Authority {
	t.Helper()
	a := &Authority{t: t, dir: t.TempDir(), serial: 1}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := a.template(name)
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	content, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	a.certificate, err = x509.ParseCertificate(content)
	assert.NilError(t, err)
	a.key = key
	a.File = a.write(name+"-authority.pem", "CERTIFICATE", content)
	return a
}

// Pair signs a key pair and returns the settings that name its files.
func (a *Authority) Pair(name string) *settings.TLS {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := a.template(name)
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	content, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(a.t, err)
	return &settings.TLS{
		CertificateFile: a.write(name+".pem", "CERTIFICATE", content),
		KeyFile:         a.write(name+"-key.pem", "PRIVATE KEY", private),
		AuthorityFile:   a.File,
	}
}

// Client returns the configuration of a client with a key pair; nil stands for
// a client without one.
func (a *Authority) Client(pair *settings.TLS) *tls.Config {
	a.t.Helper()
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	config := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	if pair != nil {
		certificate, err := tls.LoadX509KeyPair(pair.CertificateFile, pair.KeyFile)
		assert.NilError(a.t, err)
		config.Certificates = []tls.Certificate{certificate}
	}
	return config
}

func (a *Authority) template(name string) *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
}

func (a *Authority) write(name, kind string, content []byte) string {
	a.t.Helper()
	path := filepath.Join(a.dir, name)
	assert.NilError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600))
	return path
}
