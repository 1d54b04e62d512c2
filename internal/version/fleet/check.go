package fleet

import (
	"fmt"
	"slices"
	"time"
)

// TransitAllowance is subtracted from the remaining time that targets are told, to allow
// for transit.
const TransitAllowance = 2 * time.Millisecond

// Lists of a configuration and its other parts, as in its JSON form.
const (
	ListRoutes   = "routes"
	ListServices = "services"
	ListTeams    = "teams"
	PartLimits   = "limits"
)

// Path names a part of a configuration by the names of its JSON form.
type Path struct {
	// List is one of the lists, PartLimits, or empty for a field of the configuration.
	List string
	// Index is the position in the list, from 0.
	Index int
	Field string
	// Item is the position in a field that is a list, from 1; 0 is the whole field.
	Item int
}

// Finding is something in a configuration that is wrong or likely to be a mistake.
type Finding struct {
	Path Path
	// Warning is set unless requests, callers or entries are certainly not served as the
	// configuration says.
	Warning         bool
	Message, Remedy string
}

// Check returns what is wrong with a configuration that could be decoded, and what is
// likely to be a mistake. Index has been called. Findings contain no access keys.
func (c *Config) Check() []Finding {
	check := &checker{config: c, used: map[string]bool{}}
	check.limits()
	names := map[string]bool{}
	for i := range c.Routes {
		check.name(ListRoutes, i, c.Routes[i].Name, names)
		check.route(i, &c.Routes[i])
	}
	if len(c.Routes) == 0 {
		check.warn(Path{Field: ListRoutes}, "add a route", "there are no routes: all requests are answered with 404")
	}
	names = map[string]bool{}
	for i := range c.Services {
		check.name(ListServices, i, c.Services[i].Name, names)
		check.service(i, &c.Services[i])
	}
	for i := range c.Teams {
		check.team(i, &c.Teams[i])
	}
	return check.findings
}

// checker collects the findings of one configuration.
type checker struct {
	config   *Config
	used     map[string]bool
	findings []Finding
}

func (c *checker) fail(path Path, remedy, format string, args ...any) {
	c.findings = append(c.findings, Finding{Path: path, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (c *checker) warn(path Path, remedy, format string, args ...any) {
	c.fail(path, remedy, format, args...)
	c.findings[len(c.findings)-1].Warning = true
}

func (c *checker) limits() {
	limits := &c.config.Limits
	if int64(limits.HeaderBytes) > limits.BodyBytes {
		c.warn(Path{List: PartLimits, Field: "headerBytes"}, "lower it, or raise the limit of bodies",
			"%d bytes of headers are more than the %d bytes that a body may have", limits.HeaderBytes, limits.BodyBytes)
	}
}

// name checks the name of an entry against those of the entries before it.
func (c *checker) name(list string, index int, name string, names map[string]bool) {
	path := Path{List: list, Index: index, Field: "name"}
	if name == "" {
		c.fail(path, "give a name", "the name is missing")
	} else if names[name] {
		c.fail(path, "rename or remove one of the two", "an earlier entry has the name %q too", name)
	}
	names[name] = true
}

func (c *checker) route(index int, r *Route) {
	at := func(field string) Path { return Path{List: ListRoutes, Index: index, Field: field} }
	if r.Host == "" {
		c.fail(at("host"), "give the host", "the host is missing")
	}
	c.matches(at, r)
	for k, share := range r.Shares {
		c.used[share.Service] = true
		path := at("shares")
		path.Item = k + 1
		if share.Service == "" {
			c.fail(path, "name a service", "the route names no service")
		} else if c.config.Service(share.Service) == nil {
			c.fail(path, "declare the service, or correct the name", "service %q is not declared: requests are answered with 503", share.Service)
		}
	}
	if r.Priority < 0 {
		c.fail(at("priority"), "give 0 or more; 0 is the highest", "the priority is %d", r.Priority)
	}
	switch {
	case r.Aim < 0:
		c.fail(at("aim"), "give a time of more than 0", "the aim is %v", r.Aim)
	case r.Aim == 0:
		c.warn(at("aim"), "give a time of more than 0", "the aim is missing or 0: all responses count as late")
	case r.Aim > r.Timeout:
		c.warn(at("aim"), "lower it, or raise the timeout", "the aim %v is longer than the timeout %v", r.Aim, r.Timeout)
	}
	if r.MaxAttempts > 1 && r.Timeout <= TransitAllowance {
		c.warn(at("timeout"), "raise it, or allow one attempt", "%v is too short for a second attempt: %v are set aside for transit", r.Timeout, TransitAllowance)
	}
}

// matches checks whether requests can belong to a route, by the same function as traffic.
func (c *checker) matches(at func(field string) Path, r *Route) {
	prefix := at("prefix")
	switch found := c.config.Match(r.Host, r.Prefix); {
	case r.Prefix == "" || r.Prefix[0] != '/':
		c.warn(prefix, "begin it with a slash", "prefix %q does not begin with a slash, as paths do", r.Prefix)
	case r.Prefix[len(r.Prefix)-1] != '/':
		c.warn(prefix, "end it with a slash", "prefix %q does not end with a slash: it also matches paths whose last segment only begins like it", r.Prefix)
	case r.Host != "" && found == nil:
		c.warn(at("host"), "give the host without port", "no request has the host %q, whose port is not compared", r.Host)
	}
	if i := slices.IndexFunc(c.config.Routes, func(o Route) bool { return o.Host == r.Host && o.Prefix == r.Prefix }); &c.config.Routes[i] != r {
		c.warn(prefix, "remove one of the two", "no request can match: route %q has the same host and prefix and comes first", c.config.Routes[i].Name)
	}
}

func (c *checker) service(index int, s *Service) {
	at := func(field string) Path { return Path{List: ListServices, Index: index, Field: field} }
	if s.Name != "" && !c.used[s.Name] {
		c.warn(at("name"), "add a route, or remove the service", "no route sends requests to service %q", s.Name)
	}
	if s.Connections < 0 {
		c.fail(at("connections"), "give the number of connections that a target accepts", "%d is negative", s.Connections)
	}
	if s.KeyWarmup < 0 {
		c.fail(at("keyWarmup"), "give 0 or more", "%v is negative", s.KeyWarmup)
	}
	if s.Cold < 0 {
		c.fail(at("cold"), "give 0 or more", "%v is negative", s.Cold)
	}
	switch {
	case s.ColdRate < 0:
		c.fail(at("coldRate"), "give 0 or more", "%g is negative", s.ColdRate)
	case s.ColdRate == 0 && s.Cold > 0:
		c.warn(at("coldRate"), "give the requests per second that a cold target can serve", "targets are cold for %v and their rate is missing or 0: each gets about one request per second", s.Cold)
	}
}

func (c *checker) team(index int, t *Team) {
	at := func(field string) Path { return Path{List: ListTeams, Index: index, Field: field} }
	if !slices.ContainsFunc(t.AccessKeys, func(key string) bool { return key != "" }) {
		c.warn(at("accessKeys"), "add an access key, or remove the team", "team %q has no access keys: no request belongs to it", t.Name)
	}
	if t.Burst > 0 && t.Rate == 0 {
		c.warn(at("burst"), "give a rate, or remove the burst", "the burst has no effect, since team %q has no rate and thus no limit", t.Name)
	}
}
