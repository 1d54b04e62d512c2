package coordinator

import (
	"maps"
	"sort"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// differenceOf writes the targets that are new or different since a former list,
// which may be nil. How long a target is cold is relative to now, and sent for
// every target that is.
func differenceOf(former, present map[string]*fleet.Target, now time.Time) *peerv1.TargetList {
	list := &peerv1.TargetList{}
	for id, t := range present {
		if before := former[id]; before == nil || *before != *t {
			list.Targets = append(list.Targets, targetToWire(t, now))
		}
	}
	for id := range former {
		if present[id] == nil {
			list.Removed = append(list.Removed, id)
		}
	}
	return list
}

func targetToWire(t *fleet.Target, now time.Time) *peerv1.TargetState {
	return &peerv1.TargetState{
		Id: t.ID, Born: t.Born, Service: t.Service, Address: t.Address, FailureDomain: t.FailureDomain,
		Slots: uint32(t.Slots), Leaving: t.Leaving, ColdMillis: uint32(max(t.ColdUntil.Sub(now).Milliseconds(), 0)),
	}
}

// targetsFromWire returns the targets after a list or a difference to former.
func targetsFromWire(list *peerv1.TargetList, former map[string]*fleet.Target, now time.Time) (map[string]*fleet.Target, map[string]bool) {
	targets := make(map[string]*fleet.Target, len(former)+len(list.Targets))
	if list.Base != 0 {
		maps.Copy(targets, former)
	}
	for _, t := range list.Targets {
		targets[t.Id] = &fleet.Target{
			Life: fleet.Life{ID: t.Id, Born: t.Born}, Service: t.Service, Address: t.Address, FailureDomain: t.FailureDomain,
			Slots: int(t.Slots), Leaving: t.Leaving, ColdUntil: now.Add(time.Duration(t.ColdMillis) * time.Millisecond),
		}
	}
	for _, id := range list.Removed {
		delete(targets, id)
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
		members[m.Vm] = memberFromWire(m)
	}
	return members, list.Brokers
}

func memberFromWire(m *peerv1.VmIdentity) fleet.Member {
	return fleet.Member{VM: m.Vm, Incarnation: m.Incarnation, Address: m.Address, Processor: m.ProcessorMillis, FailureDomain: m.FailureDomain}
}

func identity(m fleet.Member) *peerv1.VmIdentity {
	return &peerv1.VmIdentity{Vm: m.VM, Incarnation: m.Incarnation, Address: m.Address, ProcessorMillis: m.Processor, FailureDomain: m.FailureDomain}
}
