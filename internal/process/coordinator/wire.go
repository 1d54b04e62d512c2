package coordinator

import (
	"sort"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// partAge is how long an encoded list of targets is used: the times in it are
// relative.
const partAge = 100 * time.Millisecond

// parts keeps the parts of a leader's state as they are sent, so that one change
// is encoded once for all VMs.
type parts struct {
	targetList *peerv1.TargetList
	targetsAt  time.Time
	sliceList  *peerv1.SliceList
	memberList *peerv1.MemberList
	have       struct{ Targets, Slices, Members uint64 }
}

func (p *parts) targets(view *fleet.View, version uint64, now time.Time) *peerv1.TargetList {
	if p.targetList == nil || p.have.Targets != version || now.Sub(p.targetsAt) > partAge {
		p.targetList, p.have.Targets, p.targetsAt = targetsToWire(view.Targets, view.Evacuated, now), version, now
	}
	return p.targetList
}

func (p *parts) slices(services map[string][]fleet.Slice, version uint64) *peerv1.SliceList {
	if p.sliceList == nil || p.have.Slices != version {
		p.sliceList, p.have.Slices = slicesToWire(services), version
	}
	return p.sliceList
}

func (p *parts) members(view *fleet.View, version uint64) *peerv1.MemberList {
	if p.memberList == nil || p.have.Members != version {
		p.memberList, p.have.Members = membersToWire(view.Members, view.Brokers), version
	}
	return p.memberList
}

// targetsToWire writes targets; how long they are cold is relative to now.
func targetsToWire(targets map[string]*fleet.Target, evacuated map[string]bool, now time.Time) *peerv1.TargetList {
	list := &peerv1.TargetList{}
	for _, t := range targets {
		cold := max(t.ColdUntil.Sub(now).Milliseconds(), 0)
		list.Targets = append(list.Targets, &peerv1.TargetState{
			Id: t.ID, Born: t.Born, Service: t.Service, Address: t.Address, FailureDomain: t.FailureDomain,
			Slots: uint32(t.Slots), Leaving: t.Leaving, ColdMillis: uint32(cold),
		})
	}
	for domain := range evacuated {
		list.Evacuated = append(list.Evacuated, domain)
	}
	return list
}

func targetsFromWire(list *peerv1.TargetList, now time.Time) (map[string]*fleet.Target, map[string]bool) {
	targets := make(map[string]*fleet.Target, len(list.Targets))
	for _, t := range list.Targets {
		targets[t.Id] = &fleet.Target{
			Life: fleet.Life{ID: t.Id, Born: t.Born}, Service: t.Service, Address: t.Address, FailureDomain: t.FailureDomain,
			Slots: int(t.Slots), Leaving: t.Leaving, ColdUntil: now.Add(time.Duration(t.ColdMillis) * time.Millisecond),
		}
	}
	evacuated := map[string]bool{}
	for _, domain := range list.Evacuated {
		evacuated[domain] = true
	}
	return targets, evacuated
}

func slicesToWire(services map[string][]fleet.Slice) *peerv1.SliceList {
	list := &peerv1.SliceList{}
	for service, owned := range services {
		for _, s := range owned {
			list.Slices = append(list.Slices, &peerv1.SliceState{
				Service: service, First: uint32(s.First), Last: uint32(s.Last),
				Owner: s.Owner.ID, OwnerBorn: s.Owner.Born, Fence: s.Fence, Ready: s.Ready,
			})
		}
	}
	return list
}

func slicesFromWire(list *peerv1.SliceList) map[string][]fleet.Slice {
	services := map[string][]fleet.Slice{}
	for _, s := range list.Slices {
		services[s.Service] = append(services[s.Service], fleet.Slice{
			First: uint16(s.First), Last: uint16(s.Last), Owner: fleet.Life{ID: s.Owner, Born: s.OwnerBorn},
			Fence: s.Fence, Ready: s.Ready,
		})
	}
	for _, owned := range services {
		sort.Slice(owned, func(i, j int) bool { return owned[i].First < owned[j].First })
	}
	return services
}

func membersToWire(members map[string]fleet.Member, brokers map[string]string) *peerv1.MemberList {
	list := &peerv1.MemberList{Brokers: brokers}
	for _, m := range members {
		list.Members = append(list.Members, identity(m))
	}
	return list
}

func membersFromWire(list *peerv1.MemberList) (map[string]fleet.Member, map[string]string) {
	members := make(map[string]fleet.Member, len(list.Members))
	for _, m := range list.Members {
		members[m.Vm] = fleet.Member{VM: m.Vm, Incarnation: m.Incarnation, Address: m.Address}
	}
	return members, list.Brokers
}

func identity(m fleet.Member) *peerv1.VmIdentity {
	return &peerv1.VmIdentity{Vm: m.VM, Incarnation: m.Incarnation, Address: m.Address}
}
