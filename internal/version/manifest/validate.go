package manifest

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// Bounds of a manifest.
const (
	// MaxCells is the largest number of cells of one service.
	MaxCells = 1024
	// maxNameLength is the longest name, in bytes.
	maxNameLength = 100
	// maxPercent is the largest share.
	maxPercent = 100
)

// namePattern is the form of every name. It has no slash and no colon, because
// names are parts of object names and stand beside addresses.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// Validate checks the whole manifest and returns every problem.
func (m *Manifest) Validate() Problems {
	v := &validation{manifest: m, services: map[string]*Service{}, domains: map[string]bool{}}
	v.header()
	v.failureDomains()
	for i := range m.Services {
		v.service(fmt.Sprintf("services[%d]", i), &m.Services[i])
	}
	v.shadowedServices()
	v.targets()
	v.drainVMs()
	return v.problems
}

// validation collects the problems of one manifest.
type validation struct {
	manifest *Manifest
	services map[string]*Service
	domains  map[string]bool
	problems Problems
}

func (v *validation) header() {
	if v.manifest.Format != FormatVersion {
		v.problems.add("format", fmt.Sprintf("write %d", FormatVersion), "format %d is not supported", v.manifest.Format)
	}
	v.name("deployment", v.manifest.Deployment)
}

func (v *validation) failureDomains() {
	if len(v.manifest.FailureDomains) == 0 {
		v.problems.add("failureDomains", "list at least one", "there are no failure domains")
	}
	for i, domain := range v.manifest.FailureDomains {
		path := fmt.Sprintf("failureDomains[%d]", i)
		v.name(path+".name", domain.Name)
		v.name(path+".region", domain.Region)
		if v.domains[domain.Name] {
			v.problems.add(path+".name", "rename or remove one of the two", "failure domain %q is listed twice", domain.Name)
		}
		v.domains[domain.Name] = true
	}
}

func (v *validation) service(path string, s *Service) {
	v.name(path+".name", s.Name)
	if v.services[s.Name] != nil {
		v.problems.add(path+".name", "rename or remove one of the two", "service %q is listed twice", s.Name)
	}
	v.services[s.Name] = s
	v.match(path+".match", &s.Match)
	v.placement(path, s)
	oneOf(v, path+".fencing", s.Fencing, Checked, Unchecked)
	oneOf(v, path+".grants", s.Grants, Expire, Hold)
	v.limits(path+".limits", &s.Limits)
	v.classes(path+".classes", s.Classes)
	v.coldStart(path+".coldStart", &s.ColdStart)
	v.within(path+".retryPercent", s.RetryPercent, 0, maxPercent)
	v.within(path+".hedgePercent", s.HedgePercent, 0, maxPercent)
}

func (v *validation) match(path string, m *Match) {
	if m.PathPrefix != "" && !strings.HasPrefix(m.PathPrefix, "/") {
		v.problems.add(path+".pathPrefix", "begin it with /", "path prefix %q is not absolute", m.PathPrefix)
	}
	for i, host := range m.Hosts {
		if host == "" || strings.ContainsAny(host, ":/") || host != strings.ToLower(host) {
			v.problems.add(fmt.Sprintf("%s.hosts[%d]", path, i), "write a lower-case host name without scheme and port", "host %q cannot match", host)
		}
	}
}

func (v *validation) placement(path string, s *Service) {
	oneOf(v, path+".placement", s.Placement, Keyed, Free)
	v.within(path+".cells", s.Cells, 0, MaxCells)
	switch s.Placement {
	case Keyed:
		v.key(path+".key", s.Key)
		if s.HedgePercent != 0 {
			v.problems.add(path+".hedgePercent", "remove it, or make the service free", "a keyed service has no second target to hedge with")
		}
	case Free:
		if s.Key != nil {
			v.problems.add(path+".key", "remove it, or make the service keyed", "a free service has no key")
		}
	}
}

func (v *validation) key(path string, k *Key) {
	if k == nil {
		v.problems.add(path, "say where the key stands", "a keyed service needs a key")
		return
	}
	oneOf(v, path+".from", k.From, KeyFromHeader, KeyFromPath, KeyFromQuery)
	switch {
	case k.From == KeyFromPath && k.Name != "":
		v.problems.add(path+".name", "remove it and use segment", "a key in the path has no name")
	case (k.From == KeyFromHeader || k.From == KeyFromQuery) && k.Name == "":
		v.problems.add(path+".name", "name the header or query parameter", "the key's name is missing")
	case k.From != KeyFromPath && k.Segment != 0:
		v.problems.add(path+".segment", `remove it, or set from to "path"`, "a segment is used only for a key in the path")
	}
	v.notNegative(path+".segment", int64(k.Segment))
}

func (v *validation) limits(path string, l *Limits) {
	v.notNegative(path+".queue", int64(l.Queue))
	v.notNegative(path+".deadlineMillis", l.DeadlineMillis)
	v.notNegative(path+".maxDeadlineMillis", l.MaxDeadlineMillis)
	v.notNegative(path+".maxBodyBytes", l.MaxBodyBytes)
	if l.Deadline() > l.MaxDeadline() {
		v.problems.add(path+".deadlineMillis", "lower it, or raise maxDeadlineMillis", "the default deadline %s is above the largest deadline %s", l.Deadline(), l.MaxDeadline())
	}
}

func (v *validation) classes(path string, classes []Class) {
	seen := map[string]bool{}
	for i, class := range classes {
		at := fmt.Sprintf("%s[%d]", path, i)
		v.name(at+".name", class.Name)
		if seen[class.Name] {
			v.problems.add(at+".name", "rename or remove one of the two", "class %q is listed twice", class.Name)
		}
		seen[class.Name] = true
		if class.Weight < 1 {
			v.problems.add(at+".weight", "write 1 or more", "weight %d gives the class no share", class.Weight)
		}
		if class.Header == "" && class.Value != "" {
			v.problems.add(at+".value", "name the header, or remove the value", "a value needs a header")
		}
	}
}

func (v *validation) coldStart(path string, c *ColdStart) {
	v.notNegative(path+".slots", int64(c.Slots))
	v.notNegative(path+".successesPerStep", int64(c.SuccessesPerStep))
	if c.RequestsPerSecond < 0 {
		v.problems.add(path+".requestsPerSecond", "write 0 for no cap, or a positive number", "%g is negative", c.RequestsPerSecond)
	}
	if c.GoodMillis < 0 {
		v.problems.add(path+".goodMillis", "write 0 for the default, or a positive number", "%g is negative", c.GoodMillis)
	}
}

// shadowedServices reports services that no request can reach, because an
// earlier service matches all that they match.
func (v *validation) shadowedServices() {
	for i := range v.manifest.Services {
		for j := range i {
			if covers(&v.manifest.Services[j].Match, &v.manifest.Services[i].Match) {
				v.problems.add(fmt.Sprintf("services[%d].match", i), "narrow the earlier service's match, or list this service before it",
					"every request is already matched by services[%d]", j)
				break
			}
		}
	}
}

// covers reports whether a matches every request that b matches.
func covers(a, b *Match) bool {
	if a.PathPrefix != "" && (b.PathPrefix == "" || !hasPathPrefix(b.PathPrefix, a.PathPrefix)) {
		return false
	}
	if len(a.Hosts) == 0 {
		return true
	}
	for _, host := range b.Hosts {
		if !slices.Contains(a.Hosts, host) {
			return false
		}
	}
	return len(b.Hosts) > 0
}

func (v *validation) targets() {
	names, addresses := map[string]bool{}, map[string]int{}
	populated := map[cellOfService]bool{}
	for i := range v.manifest.Targets {
		t := &v.manifest.Targets[i]
		path := fmt.Sprintf("targets[%d]", i)
		v.name(path+".name", t.Name)
		if names[t.Name] {
			v.problems.add(path+".name", "rename or remove one of the two", "target %q is listed twice", t.Name)
		}
		names[t.Name] = true
		v.address(path+".address", t.Address)
		if other, taken := addresses[t.Address]; taken {
			v.problems.add(path+".address", "correct one of the two", "address %q is also that of targets[%d]", t.Address, other)
		}
		addresses[t.Address] = i
		v.target(path, t)
		populated[cellOfService{t.Service, t.Cell}] = true
	}
	v.emptyCells(populated)
}

// cellOfService is a cell by number.
type cellOfService struct {
	service string
	cell    int
}

func (v *validation) target(path string, t *Target) {
	service := v.services[t.Service]
	if service == nil {
		v.problems.add(path+".service", "declare the service, or correct the name", "service %q does not exist", t.Service)
	} else {
		v.within(path+".cell", t.Cell, 0, service.CellCount()-1)
	}
	if !v.domains[t.FailureDomain] {
		v.problems.add(path+".failureDomain", "declare the failure domain, or correct the name", "failure domain %q does not exist", t.FailureDomain)
	}
	if t.Slots < 1 {
		v.problems.add(path+".slots", "write the number of requests that it serves at once", "%d slots serve nothing", t.Slots)
	}
	if t.Connections < t.Slots {
		v.problems.add(path+".connections", "write at least the number of slots", "%d connections cannot fill %d slots", t.Connections, t.Slots)
	}
}

func (v *validation) emptyCells(populated map[cellOfService]bool) {
	for i := range v.manifest.Services {
		service := &v.manifest.Services[i]
		for cell := range min(service.CellCount(), MaxCells) {
			if !populated[cellOfService{service.Name, cell}] {
				v.problems.add(fmt.Sprintf("services[%d].cells", i), "add a target to the cell, or lower the number of cells", "cell %d of service %q has no target", cell, service.Name)
			}
		}
	}
}

func (v *validation) drainVMs() {
	seen := map[string]bool{}
	for i, vm := range v.manifest.DrainVMs {
		path := fmt.Sprintf("drainVMs[%d]", i)
		v.name(path, vm)
		if seen[vm] {
			v.problems.add(path, "remove one of the two", "VM %q is listed twice", vm)
		}
		seen[vm] = true
	}
}

func (v *validation) name(path, name string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		v.problems.add(path, "use 1 to 100 lower-case letters, digits, dots, dashes or underscores, with a letter or digit at both ends",
			"%q is not a name", name)
	}
}

func (v *validation) address(path, address string) {
	if parsed, err := netip.ParseAddrPort(address); err != nil || parsed.Port() == 0 {
		v.problems.add(path, "write an IP number and a port, e.g. 10.0.0.5:8080", "%q is not an address", address)
	}
}

func (v *validation) within(path string, value, low, high int) {
	if value < low || value > high {
		v.problems.add(path, fmt.Sprintf("write a number from %d to %d", low, high), "%d is out of range", value)
	}
}

func (v *validation) notNegative(path string, value int64) {
	if value < 0 {
		v.problems.add(path, "write 0 or more", "%d is negative", value)
	}
}

// oneOf checks a field with a closed set of values.
func oneOf[T ~string](v *validation, path string, value T, allowed ...T) {
	if slices.Contains(allowed, value) {
		return
	}
	quoted := make([]string, len(allowed))
	for i, choice := range allowed {
		quoted[i] = fmt.Sprintf("%q", string(choice))
	}
	v.problems.add(path, "write "+strings.Join(quoted, " or "), "%q is not a value of this field", string(value))
}
