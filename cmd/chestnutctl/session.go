package main

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

// Exit codes.
const (
	exitDone        = 0
	exitFailed      = 1
	exitInvalid     = 2
	exitConflict    = 3
	exitRefused     = 4
	exitUnavailable = 5
	exitUnknown     = 6
	exitNotFound    = 7
	exitNotInForce  = 8
)

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// session holds the output streams and the flags that all commands share.
type session struct {
	stdout, stderr  io.Writer
	servers         []string
	output          string
	timeout         time.Duration
	authorityFile   string
	certificateFile string
	keyFile         string
}

// addFlags adds the flags that all commands share.
func (s *session) addFlags(app *kingpin.Application) {
	app.Flag("server", "Operators' address of a VM; repeat it to name others to try if one cannot be reached.").
		Default("http://127.0.0.1:8081").Envar("CHESTNUTCTL_SERVER").StringsVar(&s.servers)
	app.Flag("output", "Output format: text or json.").Short('o').Default(outputText).EnumVar(&s.output, outputText, outputJSON)
	app.Flag("timeout", "Timeout of one call.").Default("15s").DurationVar(&s.timeout)
	app.Flag("tls-authority", "PEM file with the authority that signs the servers' certificates.").StringVar(&s.authorityFile)
	app.Flag("tls-certificate", "PEM file with the client certificate.").StringVar(&s.certificateFile)
	app.Flag("tls-key", "PEM file with the key of the client certificate.").StringVar(&s.keyFile)
}

// client returns a client of the operators' API.
func (s *session) client() (*client, error) {
	config, err := s.tlsConfig()
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}
	return &client{servers: s.servers, http: &http.Client{Transport: transport, Timeout: s.timeout}}, nil
}

// tlsConfig returns the TLS configuration that the flags describe, nil if they
// name no file.
func (s *session) tlsConfig() (*tls.Config, error) {
	if s.authorityFile == "" && s.certificateFile == "" {
		return nil, nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if s.authorityFile != "" {
		content, err := os.ReadFile(s.authorityFile)
		config.RootCAs = x509.NewCertPool()
		if err != nil || !config.RootCAs.AppendCertsFromPEM(content) {
			return nil, fault.Wrap(err, fault.Invalid, "name a PEM file with --tls-authority", "the authority %q cannot be read", s.authorityFile)
		}
	}
	if s.certificateFile != "" {
		pair, err := tls.LoadX509KeyPair(s.certificateFile, s.keyFile)
		if err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "name PEM files with --tls-certificate and --tls-key", "the certificate cannot be read")
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

// print writes a result in the format of --output. text writes the text form;
// tabs in it separate columns.
func (s *session) print(result any, text func(w io.Writer)) error {
	if s.output == outputJSON {
		encoder := json.NewEncoder(s.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	table := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	text(table)
	return table.Flush()
}

// fail prints an error and returns its exit code. Errors of no known kind are
// those of the command line.
func (s *session) fail(err error) int {
	var apiErr *apiError
	var faultErr *fault.Error
	var notInForce *notInForceError
	var findings *findingsError
	switch {
	case errors.As(err, &findings):
		fmt.Fprintln(s.stderr, "chestnutctl: "+findings.Error())
		return findings.exitCode()
	case errors.As(err, &apiErr):
		s.printAPIError(apiErr)
		return exitCode(apiErr.body.Kind)
	case errors.As(err, &notInForce):
		fmt.Fprintln(s.stderr, "chestnutctl: "+notInForce.Error())
		return exitNotInForce
	case errors.As(err, &faultErr):
		fmt.Fprintln(s.stderr, "chestnutctl: "+err.Error())
		return exitCode(faultErr.Kind)
	}
	return usageError(s.stderr, err)
}

// printAPIError prints an error response of the server with its problems.
func (s *session) printAPIError(apiErr *apiError) {
	if s.output == outputJSON {
		encoder := json.NewEncoder(s.stderr)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(apiErr.body)
		return
	}
	fmt.Fprintln(s.stderr, "chestnutctl: "+apiErr.Error())
	for _, problem := range apiErr.body.Problems {
		fmt.Fprintln(s.stderr, "  "+problem.String())
	}
}

func exitCode(kind fault.Kind) int {
	switch kind {
	case fault.Invalid:
		return exitInvalid
	case fault.Conflict:
		return exitConflict
	case fault.Refused:
		return exitRefused
	case fault.Unavailable:
		return exitUnavailable
	case fault.UnknownOutcome:
		return exitUnknown
	case fault.NotFound:
		return exitNotFound
	}
	return exitFailed
}
