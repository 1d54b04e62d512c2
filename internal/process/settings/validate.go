package settings

import (
	"encoding/json"
	"net/netip"
	"net/url"
	"regexp"
	"strings"

	"github.com/juju/errors"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

// namePattern matches names of deployments, VMs, failure domains and regions.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Inclusive bounds of the numeric settings.
const (
	maxStoreTimeoutMillis = 60_000
	maxSmallBodyBytes     = 1 << 20
	maxIdleSessionSeconds = 3600
	maxStopSeconds        = 24 * 3600
	minMemoryMegabytes    = 32
	maxMemoryMegabytes    = 1 << 20
)

// decodeError turns an error of the JSON decoder into one that names the field.
func decodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		// The decoder's path includes embedded structs, which the JSON does not.
		field := strings.ReplaceAll(typeErr.Field, ".Listener.", ".")
		return invalid(field, "make it a "+typeErr.Type.String(), "is a JSON %s", typeErr.Value)
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return invalid(strings.Trim(field, `"`), "remove it or correct its name (docs/SETTINGS.md lists the fields)", "is not a setting")
	}
	return fault.Wrap(err, fault.Invalid, "correct the JSON syntax", "settings are not valid JSON")
}

// invalid returns an error of kind Invalid about a field; format completes the
// sentence that begins with the field's name.
func invalid(field, remedy, format string, args ...any) error {
	return fault.New(fault.Invalid, remedy, "settings: field %q "+format, append([]any{field}, args...)...)
}

// validate returns an error for the first invalid value.
func (s *Settings) validate() error {
	checks := []func() error{
		s.validateNames,
		func() error { return s.Callers.validate("callers") },
		func() error { return s.Operators.validate("operators") },
		func() error { return s.Peers.validate("peers") },
		s.validatePeers,
		s.validateStore,
		s.validateSeedPeers,
		s.validateLimits,
		s.validateLog,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) validateNames() error {
	names := []struct{ field, value string }{
		{"deployment", s.Deployment}, {"vm", s.VM}, {"failureDomain", s.FailureDomain}, {"region", s.Region},
	}
	for _, name := range names {
		if name.value == "" {
			return invalid(name.field, "set it", "is missing")
		}
		if !namePattern.MatchString(name.value) {
			return invalid(name.field, "use 1 to 63 lower-case letters, digits, dots and hyphens", "is %q", name.value)
		}
	}
	return nil
}

func (l *Listener) validate(field string) error {
	if err := validateAddress(field+".address", l.Address); err != nil {
		return err
	}
	if l.TLS == nil {
		if !l.Plain {
			return invalid(field+".tls", `set it, or set "plain": true to allow connections without TLS`, "is missing")
		}
		return nil
	}
	if l.Plain {
		return invalid(field+".plain", "remove one of the two", "is set together with tls")
	}
	if l.TLS.CertificateFile == "" {
		return invalid(field+".tls.certificateFile", "set it to a PEM file", "is missing")
	}
	if l.TLS.KeyFile == "" {
		return invalid(field+".tls.keyFile", "set it to a PEM file", "is missing")
	}
	return nil
}

func (s *Settings) validatePeers() error {
	if s.Peers.TLS != nil && s.Peers.TLS.AuthorityFile == "" {
		return invalid("peers.tls.authorityFile", "set it; peers authenticate each other", "is missing")
	}
	for vm, address := range s.Peers.Overrides {
		if err := validateAddress("peers.overrides."+vm, address); err != nil {
			return err
		}
	}
	if s.Peers.Advertise == "" {
		address, _ := netip.ParseAddrPort(s.Peers.Address)
		if address.Addr().IsUnspecified() {
			return invalid("peers.advertise", "set it to the address that peers dial", "is missing while peers.address is unspecified")
		}
		return nil
	}
	return validateAddress("peers.advertise", s.Peers.Advertise)
}

func validateAddress(field, value string) error {
	if value == "" {
		return invalid(field, `set it to an IP number and port such as "127.0.0.1:8080"`, "is missing")
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return invalid(field, `use an IP number and port such as "127.0.0.1:8080"`, "is %q", value)
	}
	return nil
}

func (s *Settings) validateStore() error {
	if s.Store.URL == "" {
		return invalid("store.url", "set it to the base address of the platform's store", "is missing")
	}
	parsed, err := url.Parse(s.Store.URL)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		return invalid("store.url", "use an http or https address", "is %q", s.Store.URL)
	}
	return validateRange("store.timeoutMillis", s.Store.TimeoutMillis, 0, maxStoreTimeoutMillis)
}

func (s *Settings) validateSeedPeers() error {
	for _, address := range s.SeedPeers {
		if err := validateAddress("seedPeers", address); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) validateLimits() error {
	if err := validateRange("limits.maxSmallBodyBytes", int64(s.Limits.MaxSmallBodyBytes), 0, maxSmallBodyBytes); err != nil {
		return err
	}
	if err := validateRange("limits.idleSessionSeconds", int64(s.Limits.IdleSessionSeconds), 0, maxIdleSessionSeconds); err != nil {
		return err
	}
	if err := validateRange("limits.stopSeconds", int64(s.Limits.StopSeconds), 0, maxStopSeconds); err != nil {
		return err
	}
	if s.Limits.MemoryMegabytes == 0 {
		return nil
	}
	return validateRange("limits.memoryMegabytes", s.Limits.MemoryMegabytes, minMemoryMegabytes, maxMemoryMegabytes)
}

func validateRange(field string, value, lowest, highest int64) error {
	if value < lowest || value > highest {
		return fault.New(fault.Invalid, "choose a value within the range", "settings: field %q is %d, not between %d and %d", field, value, lowest, highest)
	}
	return nil
}

func (s *Settings) validateLog() error {
	switch s.Log.Level {
	case "", "debug", "info", "warn", "error":
	default:
		return invalid("log.level", "use debug, info, warn or error", "is %q", s.Log.Level)
	}
	switch s.Log.Decisions {
	case "", DecisionsAll, DecisionsNone, DecisionsRefusedOnly:
	default:
		return invalid("log.decisions", "use all, refused or none", "is %q", s.Log.Decisions)
	}
	return nil
}
