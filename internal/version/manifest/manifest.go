// Package manifest defines the operators' manifest: what services, failure
// domains and targets exist and how they are served.
//
// A manifest is one JSON document, validated as a whole before submission and
// again on every node. A node never goes back to a lower version.
package manifest

import (
	"slices"
	"strings"
	"time"
)

// ObjectName is the name of the store object that holds the manifest.
const ObjectName = "manifest"

// FormatVersion is the manifest format that this version reads.
const FormatVersion = 1

// Manifest is the whole declaration of a deployment.
type Manifest struct {
	// Format is the version of the manifest format; it must be 1.
	Format int `json:"format"`
	// Deployment names the deployment; daemons of another deployment refuse it.
	Deployment string `json:"deployment"`
	// FailureDomains lists the domains that targets and VMs lie in.
	FailureDomains []FailureDomain `json:"failureDomains"`
	// Services lists the services in the order in which they are matched.
	Services []Service `json:"services"`
	// Targets lists the targets of all services.
	Targets []Target `json:"targets"`
	// DrainVMs lists VMs that take no new work.
	DrainVMs []string `json:"drainVMs,omitempty"`
}

// FailureDomain is a part of the infrastructure that fails as one.
type FailureDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Out takes the failure domain out of service.
	Out bool `json:"out,omitempty"`
}

// Service is a set of targets that serve the same requests.
type Service struct {
	Name string `json:"name"`
	// Match selects the requests of the service.
	Match Match `json:"match"`
	// Placement is "keyed" (each key has one owner) or "free" (any target).
	Placement Placement `json:"placement"`
	// Key says where the key stands in a request; required for "keyed".
	Key *Key `json:"key,omitempty"`
	// Cells is the number of cells that the service's key space is divided
	// into; 0 means 1.
	Cells int `json:"cells,omitempty"`
	// Fencing says whether the targets check fences: "checked" or "unchecked".
	Fencing Fencing `json:"fencing"`
	// Grants says whether the targets let grants lapse on their own: "expire" or "hold".
	Grants Grants `json:"grants"`
	// Limits bounds what a request may use.
	Limits Limits `json:"limits"`
	// Classes lists traffic classes by falling priority; empty means one class.
	Classes []Class `json:"classes,omitempty"`
	// ColdStart bounds the load on a target that has just started.
	ColdStart ColdStart `json:"coldStart"`
	// RetryPercent is the retry budget as a share of first attempts; 0 means 10.
	RetryPercent int `json:"retryPercent,omitempty"`
	// HedgePercent allows hedging of idempotent requests of a "free" service, as
	// a share of requests; 0 means none.
	HedgePercent int `json:"hedgePercent,omitempty"`
}

// Match selects requests by host, by path prefix, or by both.
type Match struct {
	Hosts      []string `json:"hosts,omitempty"`
	PathPrefix string   `json:"pathPrefix,omitempty"`
}

// Key says where the key stands in a request.
type Key struct {
	// From is "header", "path" or "query".
	From KeySource `json:"from"`
	// Name is the header or query parameter.
	Name string `json:"name,omitempty"`
	// Segment is the path segment, counted from 0 after the path prefix.
	Segment int `json:"segment,omitempty"`
}

// KeySource is the part of a request that holds the key.
type KeySource string

// The parts of a request that may hold the key.
const (
	KeyFromHeader KeySource = "header"
	KeyFromPath   KeySource = "path"
	KeyFromQuery  KeySource = "query"
)

// Placement is the way requests are spread over the targets of a service.
type Placement string

// The placements.
const (
	Keyed Placement = "keyed"
	Free  Placement = "free"
)

// Fencing says whether targets check fences.
type Fencing string

// The forms of fencing.
const (
	Checked   Fencing = "checked"
	Unchecked Fencing = "unchecked"
)

// Grants says whether targets let grants lapse.
type Grants string

// The forms of grants.
const (
	Expire Grants = "expire"
	Hold   Grants = "hold"
)

// Limits bounds what a request may use. Zero values mean the defaults.
type Limits struct {
	// Queue is the longest queue per target; 0 means 64.
	Queue int `json:"queue,omitempty"`
	// DeadlineMillis is the deadline of a request that names none; 0 means 10000.
	DeadlineMillis int64 `json:"deadlineMillis,omitempty"`
	// MaxDeadlineMillis caps the deadline that a request may name; 0 means 600000.
	MaxDeadlineMillis int64 `json:"maxDeadlineMillis,omitempty"`
	// MaxBodyBytes is the largest body; 0 means no limit.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
}

// Default limits.
const (
	DefaultQueue         = 64
	DefaultDeadline      = 10 * time.Second
	DefaultMaxDeadline   = 10 * time.Minute
	DefaultRetryPercent  = 10
	DefaultColdSlots     = 1
	DefaultColdSuccesses = 20
)

// QueueLength returns the longest queue per target.
func (l Limits) QueueLength() int {
	if l.Queue == 0 {
		return DefaultQueue
	}
	return l.Queue
}

// Deadline returns the deadline of a request that names none.
func (l Limits) Deadline() time.Duration {
	if l.DeadlineMillis == 0 {
		return DefaultDeadline
	}
	return time.Duration(l.DeadlineMillis) * time.Millisecond
}

// MaxDeadline returns the cap on the deadline that a request may name.
func (l Limits) MaxDeadline() time.Duration {
	if l.MaxDeadlineMillis == 0 {
		return DefaultMaxDeadline
	}
	return time.Duration(l.MaxDeadlineMillis) * time.Millisecond
}

// Class is a traffic class; Header and Value select its requests.
type Class struct {
	Name   string `json:"name"`
	Header string `json:"header,omitempty"`
	Value  string `json:"value,omitempty"`
	// Method selects by HTTP method when Header is empty.
	Method string `json:"method,omitempty"`
	// Weight is the class's share of slots under contention.
	Weight int `json:"weight"`
}

// ColdStart bounds the load on a target that has just started.
type ColdStart struct {
	// Slots is the limit of requests in flight at the start; 0 means 1.
	Slots int `json:"slots,omitempty"`
	// SuccessesPerStep is the number of answers in good time that raise the
	// limit by one; 0 means 20.
	SuccessesPerStep int `json:"successesPerStep,omitempty"`
	// RequestsPerSecond caps the start rate while the target is cold; 0 means no cap.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// GoodMillis is the service time up to which an answer counts as in good
	// time; 0 means twice the target's own usual time.
	GoodMillis float64 `json:"goodMillis,omitempty"`
}

// Target is a server that owns keys.
type Target struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Cell is the number of the cell of the service that the target belongs to.
	Cell int `json:"cell,omitempty"`
	// Address is host:port with an IP number.
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	// Slots is the number of requests that the target serves at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts.
	Connections int `json:"connections"`
	// Drain asks the target to leave.
	Drain bool `json:"drain,omitempty"`
}

// CellCount returns the number of cells of the service.
func (s *Service) CellCount() int { return max(s.Cells, 1) }

// Matches reports whether a request with the host (without port) and path
// belongs to the service. An empty condition always holds.
func (m *Match) Matches(host, path string) bool {
	if m.PathPrefix != "" && !hasPathPrefix(path, m.PathPrefix) {
		return false
	}
	return len(m.Hosts) == 0 || slices.Contains(m.Hosts, host)
}

// hasPathPrefix reports whether the prefix covers whole segments of the path.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}
