// Package loadtool sends a bounded open-loop load to the entries of a
// deployment and measures what comes back.
//
// Requests are due at times that do not depend on the answers, and a latency
// counts from the moment at which the request was due, so a system that stalls
// is not measured less often while it stalls (coordinated omission). The
// number of requests in flight is bounded; a request that is due beyond it is
// not sent and counted as such.
package loadtool

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

// KeyPlaceholder stands for the key in the path and in header values.
const KeyPlaceholder = "{key}"

// Header is one header line of every request; the value may hold KeyPlaceholder.
type Header struct {
	Name  string
	Value string
}

// Spec describes a load.
type Spec struct {
	// Entries are base URLs, used in turn.
	Entries []string
	// Rate is the number of requests per second.
	Rate float64
	// Duration is the time during which requests become due.
	Duration time.Duration
	// Keys is the number of distinct keys, Skew the exponent of Zipf's law that
	// they follow; 0 means that all are alike.
	Keys int
	Skew float64
	// KeyPrefix begins every key.
	KeyPrefix string
	// Method and Path make the request line. Path and the header values may
	// hold KeyPlaceholder.
	Method  string
	Path    string
	Headers []Header
	// BodyBytes is the length of every request's body.
	BodyBytes int
	// Timeout bounds one request.
	Timeout time.Duration
	// MaxInFlight bounds the requests in flight.
	MaxInFlight int
	// TargetHeader is an answer's header that names its target; empty means
	// that imbalance is not measured.
	TargetHeader string
	// Seed fixes the sequence of keys.
	Seed uint64
}

// Validate checks a spec and returns an error of kind Invalid.
func (s *Spec) Validate() error {
	switch {
	case len(s.Entries) == 0:
		return invalid("entries", "name at least one base URL")
	case s.Rate <= 0:
		return invalid("rate", "choose a positive number of requests per second")
	case s.Duration <= 0 || s.Timeout <= 0:
		return invalid("duration and timeout", "choose positive durations")
	case s.Keys <= 0 || s.Skew < 0:
		return invalid("keys and skew", "choose at least one key and a skew of 0 or more")
	case s.MaxInFlight <= 0 || s.BodyBytes < 0:
		return invalid("in-flight and body size", "choose a positive bound and a size of 0 or more")
	case !strings.HasPrefix(s.Path, "/"):
		return invalid("path", "begin it with a slash")
	}
	for _, entry := range s.Entries {
		if parsed, err := url.Parse(entry); err != nil || parsed.Host == "" {
			return invalid("entry "+entry, "write it as http://host:port")
		}
	}
	return nil
}

func invalid(field, remedy string) error {
	return fault.New(fault.Invalid, remedy, "the load's %s cannot be used", field)
}

// ParseHeader reads a header line "Name: value".
func ParseHeader(line string) (Header, error) {
	name, value, found := strings.Cut(line, ":")
	if !found || strings.TrimSpace(name) == "" {
		return Header{}, fault.New(fault.Invalid, `write it as "Name: value"`, "header %q cannot be read", line)
	}
	return Header{Name: http.CanonicalHeaderKey(strings.TrimSpace(name)), Value: strings.TrimSpace(value)}, nil
}
