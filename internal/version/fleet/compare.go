package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Kinds of changes between two configurations.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	// Path is in the new configuration, or in the old one if Kind is Removed.
	Path Path
	Kind string
	// Name is that of the route, service or team.
	Name string
	// Old and New are the values of a field, and empty for access keys.
	Old, New string
	// Effect says what the change does.
	Effect string
}

// Supersedes reports whether a VM that has the configuration old replaces it by this one.
func (c *Config) Supersedes(old *Config) bool { return old == nil || c.Version > old.Version }

// Compare returns the differences between a configuration and an earlier one. Index has been
// called for both. Changes contain no access keys.
func (c *Config) Compare(old *Config) []Change {
	d := &differ{old: old, new: c}
	compareField(d, "version", fmt.Sprintf("%08x", old.Version), fmt.Sprintf("%08x", c.Version), choose(c.Supersedes(old), "VMs replace the other version", "VMs that have the other version ignore this one"))
	d.limits(&old.Limits, &c.Limits)
	compareLists(d, ListRoutes, old.Routes, c.Routes, func(r *Route) string { return cmp.Or(r.Name, r.Host+r.Prefix) },
		d.routeAdded, d.routeRemoved, d.route)
	compareLists(d, ListServices, old.Services, c.Services, func(s *Service) string { return s.Name },
		func(*Service) string { return "its targets get the requests of routes that name it" },
		func(*Service) string { return "its targets get no requests" }, d.service)
	if old.HasTeams() != c.HasTeams() {
		d.add(Path{Field: ListTeams}, Changed, "", "", "", choose(c.HasTeams(),
			"requests to routes that are not public need an access key", "requests need no access key"))
	}
	compareLists(d, ListTeams, old.Teams, c.Teams, func(t *Team) string { return t.Name },
		func(t *Team) string { return fmt.Sprintf("access keys that identify it: %d", len(t.AccessKeys)) },
		func(t *Team) string { return d.withdrawn(t, nil) }, d.team)
	return d.changes
}

// differ collects the differences between two configurations.
type differ struct {
	old, new *Config
	// path and name are those of the entry whose fields are compared.
	path    Path
	name    string
	changes []Change
}

func (d *differ) add(path Path, kind, name, old, new, effect string) {
	d.changes = append(d.changes, Change{Path: path, Kind: kind, Name: name, Old: old, New: new, Effect: effect})
}

// compareLists compares two lists whose entries have a name. Entries of the same name are
// compared in their order.
func compareLists[T any](d *differ, list string, old, new []T, name func(*T) string, added, removed func(*T) string, compare func(old, new *T)) {
	former := map[string][]int{}
	for i := range old {
		former[name(&old[i])] = append(former[name(&old[i])], i)
	}
	for i := range new {
		d.path, d.name = Path{List: list, Index: i}, name(&new[i])
		if same := former[d.name]; len(same) > 0 {
			former[d.name] = same[1:]
			compare(&old[same[0]], &new[i])
		} else {
			d.add(d.path, Added, d.name, "", "", added(&new[i]))
		}
	}
	for i := range old {
		if slices.Contains(former[name(&old[i])], i) {
			d.add(Path{List: list, Index: i}, Removed, name(&old[i]), "", "", removed(&old[i]))
		}
	}
	d.path, d.name = Path{}, ""
}

// compareField records a change of a field of the entry that is being compared.
func compareField[T comparable](d *differ, field string, old, new T, effect string) {
	if old != new {
		path := d.path
		path.Field = field
		d.add(path, Changed, d.name, fmt.Sprint(old), fmt.Sprint(new), effect)
	}
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

func (d *differ) limits(old, new *Limits) {
	d.path = Path{List: PartLimits}
	compareField(d, "headerBytes", old.HeaderBytes, new.HeaderBytes, choose(new.HeaderBytes < old.HeaderBytes, "more requests have too large headers", "larger headers are accepted"))
	compareField(d, "bodyBytes", old.BodyBytes, new.BodyBytes, choose(new.BodyBytes < old.BodyBytes, "larger bodies are answered with 413", "larger bodies are accepted"))
	compareField(d, "headerTimeout", old.HeaderTimeout, new.HeaderTimeout, choose(new.HeaderTimeout < old.HeaderTimeout, "callers have less time to send the headers", "callers have more time to send the headers"))
	compareField(d, "idleTimeout", old.IdleTimeout, new.IdleTimeout, choose(new.IdleTimeout < old.IdleTimeout, "idle connections are closed sooner", "idle connections are closed later"))
	d.path = Path{}
}

func (d *differ) routeAdded(r *Route) string {
	to := "its requests go to " + describeShares(r.Shares)
	if former := d.old.Match(r.Host, r.Prefix); former != nil {
		return fmt.Sprintf("%s; so far they belonged to route %q", to, former.Name)
	}
	return to + "; so far they were answered with 404"
}

func (d *differ) routeRemoved(r *Route) string {
	if next := d.new.Match(r.Host, r.Prefix); next != nil {
		return fmt.Sprintf("its requests belong to route %q", next.Name)
	}
	return "its requests are answered with 404"
}

func (d *differ) route(old, new *Route) {
	compareField(d, "host", old.Host, new.Host, "requests of another host belong to the route")
	compareField(d, "prefix", old.Prefix, new.Prefix, "requests of other paths belong to the route")
	compareField(d, "kind", old.Kind, new.Kind, choose(new.Kind.Repeatable(), "requests may run more than once", "requests run at most once"))
	compareField(d, "aim", old.Aim, new.Aim, choose(new.Aim < old.Aim, "responses count as late sooner", "responses count as late later"))
	compareField(d, "timeout", old.Timeout, new.Timeout, choose(new.Timeout < old.Timeout, "requests are given up sooner", "requests are given up later"))
	compareField(d, "priority", old.Priority, new.Priority, choose(new.Priority < old.Priority, "requests are more urgent than before", "requests are less urgent than before"))
	compareField(d, "maxAttempts", old.MaxAttempts, new.MaxAttempts, choose(new.MaxAttempts < old.MaxAttempts, "requests are sent to fewer targets", "requests are sent to more targets"))
	compareField(d, "shares", describeShares(old.Shares), describeShares(new.Shares),
		choose(sameServices(old.Shares, new.Shares), "requests of the route are divided differently", "requests of the route go to another service"))
	compareField(d, "public", old.Public, new.Public, choose(new.Public, "requests need no access key", "requests need an access key if there are teams"))
}

// describeShares returns the services with their weights, if there are several.
func describeShares(shares []Share) string {
	if len(shares) == 1 {
		return shares[0].Service
	}
	parts := make([]string, len(shares))
	for i, share := range shares {
		parts[i] = fmt.Sprintf("%s:%d", share.Service, share.Weight)
	}
	return strings.Join(parts, " ")
}

func sameServices(a, b []Share) bool {
	names := func(shares []Share) []string {
		all := make([]string, len(shares))
		for i, share := range shares {
			all[i] = share.Service
		}
		slices.Sort(all)
		return slices.Compact(all)
	}
	return slices.Equal(names(a), names(b))
}

func (d *differ) service(old, new *Service) {
	compareField(d, "healthPath", old.HealthPath, new.HealthPath, "the forwarding of requests does not change")
	compareField(d, "connections", old.Connections, new.Connections, "the forwarding of requests does not change")
	compareField(d, "cold", old.Cold, new.Cold, choose(new.Cold < old.Cold, "targets count as cold for a shorter time", "targets count as cold for a longer time"))
	compareField(d, "coldRate", old.ColdRate, new.ColdRate, choose(new.ColdRate < old.ColdRate, "cold targets get fewer requests", "cold targets get more requests"))
	compareField(d, "keyed", old.Keyed, new.Keyed, choose(new.Keyed, "each key belongs to one target, and requests without a key are answered with 400", "any target serves any request"))
	compareField(d, "keyWarmup", old.KeyWarmup, new.KeyWarmup, "the forwarding of requests does not change")
}

func (d *differ) team(old, new *Team) {
	limit := func(rate float64) float64 {
		if rate == 0 {
			return math.Inf(1)
		}
		return rate
	}
	compareField(d, "priority", old.Priority, new.Priority, choose(new.Priority < old.Priority, "its requests are more urgent than before", "its requests are less urgent than before"))
	compareField(d, "rate", old.Rate, new.Rate, choose(limit(new.Rate) < limit(old.Rate), "quota lowered", "quota raised")+choose(new.Rate == 0, ": no limit", ""))
	compareField(d, "burst", old.Burst, new.Burst, choose(new.Rate == 0, "no effect without a rate", choose(new.Burst < old.Burst, "quota lowered for bursts", "quota raised for bursts")))
	var effects []string
	if gone := d.withdrawn(old, new); gone != "" {
		effects = append(effects, gone)
	}
	if fresh := missing(new.AccessKeys, old.AccessKeys); len(fresh) > 0 {
		effects = append(effects, fmt.Sprintf("%s of the new version added", positions(fresh)))
	}
	if len(effects) > 0 {
		path := d.path
		path.Field = "accessKeys"
		d.add(path, Changed, d.name, "", "", strings.Join(effects, "; "))
	}
}

// withdrawn says which access keys of a team are no longer its own, and what becomes of
// them; new is nil if the team is removed.
func (d *differ) withdrawn(old, new *Team) string {
	var kept []string
	if new != nil {
		kept = new.AccessKeys
	}
	var refused, moved []int
	for _, position := range missing(old.AccessKeys, kept) {
		if d.new.TeamOf(old.AccessKeys[position-1]) == nil {
			refused = append(refused, position)
		} else {
			moved = append(moved, position)
		}
	}
	var effects []string
	if len(refused) > 0 {
		effects = append(effects, fmt.Sprintf("%s of the old version withdrawn: %s", positions(refused),
			choose(d.new.HasTeams(), "requests with them are answered with 401 unless the route is public", "no key is needed")))
	}
	if len(moved) > 0 {
		effects = append(effects, fmt.Sprintf("%s of the old version identify another team", positions(moved)))
	}
	if len(effects) == 0 && new == nil {
		return "it had no access keys"
	}
	return strings.Join(effects, "; ")
}

// missing returns the positions, from 1, of the keys that others do not include.
func missing(keys, others []string) (at []int) {
	for i, key := range keys {
		if !slices.Contains(others, key) {
			at = append(at, i+1)
		}
	}
	return at
}

func positions(at []int) string {
	text := strings.Trim(strings.Join(strings.Fields(fmt.Sprint(at)), ", "), "[]")
	return choose(len(at) == 1, "access key ", "access keys ") + text
}
