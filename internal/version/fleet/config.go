// Package fleet defines the state that the VMs share when targets check fences
// themselves: the configuration, the targets, the owners of keys, and the VMs.
//
// All values are immutable once published. A View is built on the control
// goroutine, and request handlers read it through an atomic pointer.
package fleet

import (
	"net"
	"sort"
	"strings"
	"time"
)

// RequestKind determines whether a request may be retried.
type RequestKind string

const (
	// Idempotent requests may run more than once.
	Idempotent RequestKind = "idempotent"
	// AtMostOnce requests may run at most once for each attempt of a caller.
	AtMostOnce RequestKind = "at-most-once"
	// Upload is an AtMostOnce request with a large body.
	Upload RequestKind = "upload"
	// Download is an Idempotent request with a large response.
	Download RequestKind = "download"
)

// Repeatable reports whether requests of the kind may run more than once. Unknown
// kinds may not.
func (k RequestKind) Repeatable() bool { return k == Idempotent || k == Download }

// Config is one version of the configuration.
type Config struct {
	// Version rises with each configuration; a VM never goes back to a lower one.
	Version  uint64    `json:"version"`
	Limits   Limits    `json:"limits"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	// Teams are the teams of callers. If there are none, requests carry no access keys.
	Teams []Team `json:"teams,omitempty"`
	// InvalidTeams describes the entries of teams that were left out and the access keys
	// that identify nobody, without the keys themselves. A configuration whose teams are
	// all invalid still has teams: its routes do not become public.
	InvalidTeams []string `json:"invalidTeams,omitempty"`

	byHost   map[string][]*Route
	services map[string]*Service
	teams    map[string]*Team
	// teamsByKey holds the teams by the digests of their access keys; nil for a key of
	// several teams.
	teamsByKey map[keyDigest]*Team
	// leastUrgent is the largest priority of a team.
	leastUrgent int
}

// Team is a group of callers with access keys, a priority and a limit on their requests.
type Team struct {
	Name       string   `json:"name"`
	AccessKeys []string `json:"accessKeys"`
	// Priority orders teams when capacity is short; 0 is the highest. It takes precedence
	// over the priority of routes.
	Priority int `json:"priority,omitempty"`
	// Rate is the number of requests per second that the team may send through all VMs
	// together, Burst the number beyond it that may come at once. A Rate of 0 is no limit.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// Limits bound the size of requests, the time in which a caller has to send the headers,
// and the time for which a connection may be idle. Sizes are in bytes.
type Limits struct {
	HeaderBytes   int           `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeout"`
	IdleTimeout   time.Duration `json:"idleTimeout"`
}

// Route assigns the requests for a host and path prefix to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string      `json:"prefix"`
	Kind   RequestKind `json:"kind"`
	// Aim is the response time to achieve; later answers are worth less to the caller.
	Aim time.Duration `json:"aim"`
	// Timeout is the longest time that a caller waits for an answer.
	Timeout time.Duration `json:"timeout"`
	// Priority orders routes when capacity is short; 0 is the highest.
	Priority int `json:"priority"`
	// MaxAttempts is the largest number of targets that one request is sent to.
	MaxAttempts int `json:"maxAttempts"`
	// Shares split the requests between services by weight. There is at least one.
	Shares []Share `json:"shares"`
	// Public is set if requests need no access key.
	Public bool `json:"public,omitempty"`
}

// Share is the weight of a service in a route.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service is a set of targets that serve the same requests.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	// Connections is the largest number of connections that one target accepts.
	Connections int `json:"connections"`
	// Cold is how long a target is cold after its start. While cold it can serve
	// ColdRate requests per second.
	Cold     time.Duration `json:"cold"`
	ColdRate float64       `json:"coldRate"`
	// Keyed is set if the keys of the service are divided among its targets.
	Keyed bool `json:"keyed,omitempty"`
	// KeyWarmup is how long requests for a key are slow after its target has got it
	// without a handover.
	KeyWarmup time.Duration `json:"keyWarmup,omitempty"`
}

// Index builds the lookup tables of Match, Service, Team and TeamOf. It is called once, before the
// configuration is published.
func (c *Config) Index() {
	c.byHost = map[string][]*Route{}
	c.services = map[string]*Service{}
	c.teams = map[string]*Team{}
	for i := range c.Routes {
		route := &c.Routes[i]
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	c.indexTeams()
}

// Match returns the route of a host with the longest prefix of the path, or nil. The
// host may include a port.
func (c *Config) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range c.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Pick returns the service for one request of the route; draw is a uniform
// random number in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	left := draw * float64(total)
	for _, share := range r.Shares {
		left -= float64(share.Weight)
		if left < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Class returns the class of the route's requests. Requests of a class should take
// similar work; service times are estimated for each class.
func (r *Route) Class() string {
	return string(r.Kind) + "/" + r.Aim.String()
}
