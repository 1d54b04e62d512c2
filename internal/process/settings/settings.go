// Package settings reads the settings of a daemon: its identity, its listeners,
// and the addresses of the store and its peers.
//
// Settings belong to one process and are read once, at its start. The services
// and targets of the deployment are declared in the manifest instead. Decoding
// is strict: an unknown field, a wrong type and an invalid value are errors that
// name the field and the remedy.
package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

// Settings configures one daemon.
type Settings struct {
	// Deployment names the deployment; peers of another deployment are refused.
	Deployment string `json:"deployment"`
	// VM is the name of this VM, unique in the deployment.
	VM string `json:"vm"`
	// FailureDomain is the failure domain of this VM.
	FailureDomain string `json:"failureDomain"`
	// Region is the region of this VM.
	Region string `json:"region"`
	// Callers configures the listener for callers.
	Callers Listener `json:"callers"`
	// Operators configures the listener for operators.
	Operators Listener `json:"operators"`
	// Peers configures the listener for the other daemons of the deployment.
	Peers PeerListener `json:"peers"`
	// Store configures access to the platform's store.
	Store Store `json:"store"`
	// SeedPeers lists peer addresses that a starting daemon asks while the store
	// is unavailable.
	SeedPeers []string `json:"seedPeers,omitempty"`
	// Limits bounds the resource use of this process.
	Limits Limits `json:"limits,omitzero"`
	// Log configures the log, which is written to standard error.
	Log Log `json:"log,omitzero"`
}

// Listener configures an address to listen on.
type Listener struct {
	// Address is host:port; the host is an IP address.
	Address string `json:"address"`
	// TLS is required unless Plain is set.
	TLS *TLS `json:"tls,omitempty"`
	// Plain allows connections without TLS.
	Plain bool `json:"plain,omitempty"`
}

// PeerListener configures the listener for peers and the addresses to dial.
type PeerListener struct {
	Listener
	// Advertise is the address that peers dial, if it differs from Address.
	Advertise string `json:"advertise,omitempty"`
	// Overrides maps names of VMs to addresses to dial instead of the advertised
	// ones.
	Overrides map[string]string `json:"overrides,omitempty"`
}

// TLS names the PEM files of a listener's key pair. With a certificate authority,
// both sides of a connection must present a certificate signed by it.
type TLS struct {
	CertificateFile string `json:"certificateFile"`
	KeyFile         string `json:"keyFile"`
	// AuthorityFile holds the certificate authority; empty means that clients
	// are not authenticated.
	AuthorityFile string `json:"authorityFile,omitempty"`
}

// Store configures access to the platform's store.
type Store struct {
	// URL is the base address of the store's HTTP API.
	URL string `json:"url"`
	// TimeoutMillis is the timeout of one call; 0 means 2000.
	TimeoutMillis int64 `json:"timeoutMillis,omitempty"`
}

// Limits bounds the resource use of a process. Zero values mean the defaults.
type Limits struct {
	// MaxSmallBodyBytes is the largest body that is sent inside its message, on
	// the request stream that all requests of a peer session share; 0 means 32768.
	MaxSmallBodyBytes int `json:"maxSmallBodyBytes,omitempty"`
	// IdleSessionSeconds is the time without traffic after which a peer session
	// is closed; 0 means 60.
	IdleSessionSeconds int `json:"idleSessionSeconds,omitempty"`
	// StopSeconds is the timeout of a graceful stop; 0 means 900.
	StopSeconds int `json:"stopSeconds,omitempty"`
	// MemoryMegabytes is the soft memory limit of the process; 0 means none.
	MemoryMegabytes int64 `json:"memoryMegabytes,omitempty"`
}

// Log configures the log.
type Log struct {
	// Level is "debug", "info", "warn" or "error"; empty means "info".
	Level string `json:"level,omitempty"`
	// Decisions selects the routing decisions to log: "all", "none" or
	// "refused"; empty means "all". Placement decisions are always logged.
	Decisions string `json:"decisions,omitempty"`
}

// Defaults, DefaultMaxSmallBody in bytes, and the values of Log.Decisions.
const (
	DefaultStoreTimeout  = 2 * time.Second
	DefaultMaxSmallBody  = 32 << 10
	DefaultIdleSession   = time.Minute
	DefaultStop          = 15 * time.Minute
	DefaultLogLevel      = "info"
	DecisionsAll         = "all"
	DecisionsNone        = "none"
	DecisionsRefusedOnly = "refused"
)

// Load reads, decodes and validates a settings file. Errors are of kind
// fault.Invalid.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "pass the path of a readable file with --settings", "settings cannot be read")
	}
	return Parse(content)
}

// Parse decodes and validates settings. Errors are of kind fault.Invalid.
func Parse(content []byte) (*Settings, error) {
	s := &Settings{}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, fault.New(fault.Invalid, "keep one JSON object in the file", "settings: text follows the JSON object")
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	return s, nil
}

// StoreTimeout returns the timeout of one store call.
func (s *Settings) StoreTimeout() time.Duration {
	if s.Store.TimeoutMillis == 0 {
		return DefaultStoreTimeout
	}
	return time.Duration(s.Store.TimeoutMillis) * time.Millisecond
}

// IdleSession returns the time after which an idle peer session is closed.
func (s *Settings) IdleSession() time.Duration {
	if s.Limits.IdleSessionSeconds == 0 {
		return DefaultIdleSession
	}
	return time.Duration(s.Limits.IdleSessionSeconds) * time.Second
}

// StopTimeout returns the timeout of a graceful stop.
func (s *Settings) StopTimeout() time.Duration {
	if s.Limits.StopSeconds == 0 {
		return DefaultStop
	}
	return time.Duration(s.Limits.StopSeconds) * time.Second
}

// MaxSmallBody returns the size in bytes of the largest body that is sent inside
// its message.
func (s *Settings) MaxSmallBody() int {
	if s.Limits.MaxSmallBodyBytes == 0 {
		return DefaultMaxSmallBody
	}
	return s.Limits.MaxSmallBodyBytes
}

// PeerAddress returns the address for peers to dial: the advertised one, or
// the listen address if none is set.
func (s *Settings) PeerAddress() string {
	if s.Peers.Advertise != "" {
		return s.Peers.Advertise
	}
	return s.Peers.Address
}
