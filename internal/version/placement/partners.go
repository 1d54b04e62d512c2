package placement

import (
	"slices"
	"strings"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
)

// MinVMs is the number of VMs below which no partners are named: a dispatcher,
// a backup and a witness must not fail together.
const MinVMs = 3

// TargetPartners are the partners planned for a target.
type TargetPartners struct {
	Target   string
	Partners assignment.Partners
}

// Ring orders the VMs so that backup and witness are functions of the
// dispatcher's VM alone. All targets of a VM therefore share two partners and
// one heartbeat carries all leases. A VM that comes or goes changes the
// partners of its neighbours only.
type Ring struct {
	vms []VM
	// index is the position in vms by VM name.
	index map[string]int
}

// NewRing returns the ring of the VMs.
func NewRing(vms []VM) *Ring {
	ring := &Ring{vms: slices.Clone(vms), index: make(map[string]int, len(vms))}
	slices.SortFunc(ring.vms, func(a, b VM) int {
		if order := compareUint(weight("ring", a.Holder.VM), weight("ring", b.Holder.VM)); order != 0 {
			return order
		}
		return strings.Compare(a.Holder.VM, b.Holder.VM)
	})
	for i := range ring.vms {
		ring.index[ring.vms[i].Holder.VM] = i
	}
	return ring
}

// Partners returns the partners of a dispatcher's VM: the next VM of another
// failure domain as backup and the next of a third one as witness, where
// avoidable. The dispatcher must be on a ring of at least MinVMs.
func (r *Ring) Partners(dispatcher string) assignment.Partners {
	at := r.index[dispatcher]
	holder := &r.vms[at]
	backup := r.following(at, func(vm *VM) bool { return vm.FailureDomain != holder.FailureDomain })
	if backup < 0 {
		backup = (at + 1) % len(r.vms)
	}
	backupDomain := r.vms[backup].FailureDomain
	witness := r.following(backup, func(vm *VM) bool {
		return vm.FailureDomain != holder.FailureDomain && vm.FailureDomain != backupDomain
	})
	if witness < 0 {
		witness = r.following(backup, func(vm *VM) bool { return vm.Holder != holder.Holder && vm.FailureDomain != holder.FailureDomain })
	}
	if witness < 0 {
		witness = r.following(backup, func(vm *VM) bool { return vm.Holder != holder.Holder })
	}
	return assignment.Partners{Dispatcher: holder.Holder, Backup: r.vms[backup].Holder, Witness: r.vms[witness].Holder}
}

// following returns the position of the first accepted VM after a position,
// that position excluded, or -1.
func (r *Ring) following(at int, accept func(*VM) bool) int {
	for step := 1; step < len(r.vms); step++ {
		if i := (at + step) % len(r.vms); accept(&r.vms[i]) {
			return i
		}
	}
	return -1
}

// PlanPartners returns the partners of every target, sorted by target. The
// dispatcher lies in the target's failure domain where there is a VM, and the
// targets of a domain are spread evenly over its VMs. A dispatcher named in
// current stays while it is among the VMs, lies in the right domain and has no
// more than its share. It fails with Unavailable below MinVMs.
func PlanPartners(targets []Target, vms []VM, current *assignment.Cell) ([]TargetPartners, error) {
	if len(vms) < MinVMs {
		return nil, fault.New(fault.Unavailable, "start more VMs", "%d VMs are too few for a dispatcher, a backup and a witness", len(vms))
	}
	ring := NewRing(vms)
	planner := newDispatcherPlanner(targets, ring)
	plan := make([]TargetPartners, len(targets))
	order := sortedTargets(targets)
	for i := range order {
		plan[i].Target = order[i].Name
		if vm := planner.keep(&order[i], current); vm != "" {
			plan[i].Partners = ring.Partners(vm)
		}
	}
	for i := range order {
		if plan[i].Partners.Dispatcher.VM == "" {
			plan[i].Partners = ring.Partners(planner.choose(&order[i]))
		}
	}
	return plan, nil
}

// dispatcherPlanner spreads targets over the VMs of their domains.
type dispatcherPlanner struct {
	ring *Ring
	// share bounds the targets per VM of a domain.
	share map[string]int
	count map[string]int
}

func newDispatcherPlanner(targets []Target, ring *Ring) *dispatcherPlanner {
	p := &dispatcherPlanner{ring: ring, share: map[string]int{}, count: map[string]int{}}
	vms, wanted := map[string]int{}, map[string]int{}
	for i := range ring.vms {
		vms[ring.vms[i].FailureDomain]++
	}
	for i := range targets {
		wanted[targets[i].FailureDomain]++
	}
	for domain, n := range vms {
		p.share[domain] = max(1, (wanted[domain]+n-1)/n)
	}
	return p
}

// keep returns the present dispatcher's VM if it may stay, and counts it.
func (p *dispatcherPlanner) keep(target *Target, current *assignment.Cell) string {
	if current == nil {
		return ""
	}
	rights := current.RightsOf(target.Name)
	if rights == nil {
		return ""
	}
	i, ok := p.ring.index[rights.Dispatcher.VM]
	if !ok || p.ring.vms[i].Holder != rights.Dispatcher {
		return ""
	}
	domain := p.ring.vms[i].FailureDomain
	if domain != target.FailureDomain && p.share[target.FailureDomain] > 0 || p.count[rights.Dispatcher.VM] >= p.share[domain] {
		return ""
	}
	p.count[rights.Dispatcher.VM]++
	return rights.Dispatcher.VM
}

// choose returns the VM with the highest rendezvous weight among those of the
// target's domain that have the fewest targets.
func (p *dispatcherPlanner) choose(target *Target) string {
	best := -1
	for i := range p.ring.vms {
		vm := &p.ring.vms[i]
		if p.share[target.FailureDomain] > 0 && vm.FailureDomain != target.FailureDomain {
			continue
		}
		if best < 0 || p.better(target, vm, &p.ring.vms[best]) {
			best = i
		}
	}
	name := p.ring.vms[best].Holder.VM
	p.count[name]++
	return name
}

func (p *dispatcherPlanner) better(target *Target, a, b *VM) bool {
	if p.count[a.Holder.VM] != p.count[b.Holder.VM] {
		return p.count[a.Holder.VM] < p.count[b.Holder.VM]
	}
	return weight(target.Name, a.Holder.VM) > weight(target.Name, b.Holder.VM)
}
