package manifest

import (
	"slices"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

// Scope is what a drain or a restore applies to.
type Scope string

// The scopes.
const (
	ScopeTarget        Scope = "target"
	ScopeVM            Scope = "vm"
	ScopeFailureDomain Scope = "failure-domain"
)

// WithDrain returns a copy of the manifest in which the named target, VM or
// failure domain is drained, or restored when drained is false. The second
// result reports whether that changes anything. VMs are not declared in the
// manifest, so any VM may be named.
func (m *Manifest) WithDrain(scope Scope, name string, drained bool) (*Manifest, bool, error) {
	next := m.Clone()
	switch scope {
	case ScopeTarget:
		i := slices.IndexFunc(next.Targets, func(t Target) bool { return t.Name == name })
		if i < 0 {
			return nil, false, unknownName(scope, name)
		}
		next.Targets[i].Drain = drained
		return next, m.Targets[i].Drain != drained, nil
	case ScopeFailureDomain:
		i := slices.IndexFunc(next.FailureDomains, func(d FailureDomain) bool { return d.Name == name })
		if i < 0 {
			return nil, false, unknownName(scope, name)
		}
		next.FailureDomains[i].Out = drained
		return next, m.FailureDomains[i].Out != drained, nil
	case ScopeVM:
		return next, next.drainVM(name, drained), nil
	}
	return nil, false, fault.New(fault.Invalid, "use target, vm or failure-domain", "%q cannot be drained", string(scope))
}

// drainVM changes the list of drained VMs and reports whether it differs.
func (m *Manifest) drainVM(name string, drained bool) bool {
	i := slices.Index(m.DrainVMs, name)
	switch {
	case drained && i < 0:
		m.DrainVMs = append(m.DrainVMs, name)
	case !drained && i >= 0:
		m.DrainVMs = slices.Delete(m.DrainVMs, i, i+1)
	default:
		return false
	}
	return true
}

func unknownName(scope Scope, name string) error {
	return fault.New(fault.NotFound, "list the names with chestnutctl manifest show", "the manifest has no %s %q", string(scope), name)
}
