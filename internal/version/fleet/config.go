// Package fleet defines what a VM knows when targets check fences themselves:
// the configuration, the targets, who owns which keys, and the other VMs.
//
// All values are immutable once published. A View is built on the control
// goroutine and read by traffic through an atomic pointer.
package fleet

import (
	"net"
	"sort"
	"strings"
	"time"
)

// RequestKind says what may be repeated.
type RequestKind string

const (
	// Idempotent requests may run more than once.
	Idempotent RequestKind = "idempotent"
	// AtMostOnce requests may run once for each attempt of a caller.
	AtMostOnce RequestKind = "at-most-once"
	// Upload is an AtMostOnce request with a large body.
	Upload RequestKind = "upload"
)

// Config is one version of the configuration.
type Config struct {
	// Version rises with each configuration; a VM never goes back.
	Version  uint64    `json:"version"`
	Limits   Limits    `json:"limits"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`

	byHost   map[string][]*Route
	services map[string]*Service
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int           `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeout"`
	IdleTimeout   time.Duration `json:"idleTimeout"`
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string      `json:"prefix"`
	Kind   RequestKind `json:"kind"`
	// Aim is the time within which an answer has its full worth.
	Aim time.Duration `json:"aim"`
	// Timeout is the longest time a caller is kept waiting.
	Timeout time.Duration `json:"timeout"`
	// Priority is the rank; 0 is the highest.
	Priority int `json:"priority"`
	// MaxAttempts is the number of targets that one request may be sent to.
	MaxAttempts int `json:"maxAttempts"`
	// Shares divide the requests between services by weight; one or more.
	Shares []Share `json:"shares"`
}

// Share is a service's part of a route.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service is a set of targets that serve the same requests.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	// Connections is the number of connections that one target accepts.
	Connections int `json:"connections"`
	// Cold is how long a target is cold after its start; while cold it bears
	// ColdRate requests a second.
	Cold     time.Duration `json:"cold"`
	ColdRate float64       `json:"coldRate"`
	// Keyed services are divided by key.
	Keyed bool `json:"keyed,omitempty"`
	// KeyWarmup is how long keys are slow that arrive without a handover.
	KeyWarmup time.Duration `json:"keyWarmup,omitempty"`
}

// Index prepares the lookups; it is called once, before the value is shared.
func (c *Config) Index() {
	c.byHost = map[string][]*Route{}
	c.services = map[string]*Service{}
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
}

// Match returns the route with the longest prefix that begins the path, or nil.
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

// Class names requests that take similar work, for the estimate of service times.
func (r *Route) Class() string {
	return string(r.Kind) + "/" + r.Aim.String()
}
