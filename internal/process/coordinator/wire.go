package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// diffTargets returns the diff from a former set of targets to the present one. The
// remaining cold time of a target is relative to now.
func diffTargets(former, present targetSet, now time.Time) proto.Message {
	list := &peerv1.TargetList{Evacuated: slices.Sorted(maps.Keys(present.evacuated)), Removed: removedKeys(former.targets, present.targets)}
	for id, t := range present.targets {
		if before := former.targets[id]; before == nil || *before != *t {
			list.Targets = append(list.Targets, targetToWire(t, now))
		}
	}
	return list
}

// removedKeys returns the keys of former that are not in present.
func removedKeys[V any](former, present map[string]V) []string {
	var keys []string
	for key := range former {
		if _, kept := present[key]; !kept {
			keys = append(keys, key)
		}
	}
	return keys
}

func targetToWire(t *fleet.Target, now time.Time) *peerv1.TargetState {
	return &peerv1.TargetState{
		Id: t.ID, Born: t.Born, Service: t.Service, Address: t.Address, FailureDomain: t.FailureDomain,
		Slots: uint32(t.Slots), Leaving: t.Leaving, ColdMillis: uint32(max(t.ColdUntil.Sub(now).Milliseconds(), 0)),
	}
}

// applyTargets applies a diff to base and returns the targets and the
// evacuated failure domains.
func applyTargets(list *peerv1.TargetList, base map[string]*fleet.Target, now time.Time) (map[string]*fleet.Target, map[string]bool) {
	targets := make(map[string]*fleet.Target, len(base)+len(list.Targets))
	maps.Copy(targets, base)
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

// diffSlices returns the diff from a former set of slices to the present one.
func diffSlices(former, present sliceSet, _ time.Time) proto.Message {
	list := &peerv1.SliceList{}
	for service, owned := range present {
		addServiceDiff(list, service, former[service], owned)
	}
	for _, service := range removedKeys(former, present) {
		addServiceDiff(list, service, former[service], nil)
	}
	return list
}

// addServiceDiff adds the diff of a service's slices, which are sorted by key, to the
// list unless it is empty.
func addServiceDiff(list *peerv1.SliceList, service string, former, present []fleet.Slice) {
	difference := &peerv1.ServiceSlices{Service: service}
	for i := range present {
		s := &present[i]
		for len(former) > 0 && former[0].First < s.First {
			difference.Removed = append(difference.Removed, uint32(former[0].First))
			former = former[1:]
		}
		known := len(former) > 0 && former[0].First == s.First
		if !known || !sameSlice(&former[0], s) {
			difference.Slices = append(difference.Slices, &peerv1.SliceState{
				First: uint32(s.First), Last: uint32(s.Last), Owner: s.Owner.ID, OwnerBorn: s.Owner.Born,
				Ready: s.Ready,
			})
		}
		if known {
			former = former[1:]
		}
	}
	for i := range former {
		difference.Removed = append(difference.Removed, uint32(former[i].First))
	}
	if len(difference.Slices) > 0 || len(difference.Removed) > 0 {
		list.Services = append(list.Services, difference)
	}
}

// sameSlice reports whether two slices are equal in the fields sent to other VMs.
func sameSlice(a, b *fleet.Slice) bool {
	return a.First == b.First && a.Last == b.Last && a.Owner == b.Owner && a.Ready == b.Ready
}

// applySlices applies a diff to base and returns the slices by service.
func applySlices(list *peerv1.SliceList, base sliceSet) sliceSet {
	services := maps.Clone(base)
	if services == nil {
		services = sliceSet{}
	}
	for _, difference := range list.Services {
		services[difference.Service] = applyService(difference, base[difference.Service])
		if len(services[difference.Service]) == 0 {
			delete(services, difference.Service)
		}
	}
	return services
}

// applyService applies the diff of one service to base.
func applyService(difference *peerv1.ServiceSlices, base []fleet.Slice) []fleet.Slice {
	replaced := make(map[uint16]bool, len(difference.Slices)+len(difference.Removed))
	for _, first := range difference.Removed {
		replaced[uint16(first)] = true
	}
	owned := make([]fleet.Slice, 0, len(base)+len(difference.Slices))
	for _, s := range difference.Slices {
		replaced[uint16(s.First)] = true
		owned = append(owned, fleet.Slice{
			First: uint16(s.First), Last: uint16(s.Last), Owner: fleet.Life{ID: s.Owner, Born: s.OwnerBorn},
			Ready: s.Ready,
		})
	}
	for _, s := range base {
		if !replaced[s.First] {
			owned = append(owned, s)
		}
	}
	slices.SortFunc(owned, func(a, b fleet.Slice) int { return cmp.Compare(a.First, b.First) })
	return owned
}

// diffMembers returns the diff from a former set of VMs and brokers to the present
// one.
func diffMembers(former, present memberSet, _ time.Time) proto.Message {
	list := &peerv1.MemberList{
		Brokers: map[string]string{},
		Removed: removedKeys(former.members, present.members), RemovedBrokers: removedKeys(former.brokers, present.brokers),
	}
	for vm, m := range present.members {
		if before, known := former.members[vm]; !known || before != m {
			list.Members = append(list.Members, memberToWire(m))
		}
	}
	for service, vm := range present.brokers {
		if former.brokers[service] != vm {
			list.Brokers[service] = vm
		}
	}
	return list
}

// applyMembers applies a diff to base and returns the VMs and brokers.
func applyMembers(list *peerv1.MemberList, base memberSet) memberSet {
	updated := memberSet{maps.Clone(base.members), maps.Clone(base.brokers)}
	if updated.members == nil {
		updated.members = map[string]fleet.Member{}
	}
	if updated.brokers == nil {
		updated.brokers = map[string]string{}
	}
	for _, m := range list.Members {
		updated.members[m.Vm] = memberFromWire(m)
	}
	maps.Copy(updated.brokers, list.Brokers)
	for _, vm := range list.Removed {
		delete(updated.members, vm)
	}
	for _, service := range list.RemovedBrokers {
		delete(updated.brokers, service)
	}
	return updated
}

func repeatsToWire(counts map[string]admission.RepeatCount) []*peerv1.ServiceRepeats {
	var list []*peerv1.ServiceRepeats
	for service, count := range counts {
		list = append(list, &peerv1.ServiceRepeats{Service: service, First: uint32(count.First), Repeated: uint32(count.Repeated)})
	}
	return list
}

func repeatsFromWire(list []*peerv1.ServiceRepeats) map[string]admission.RepeatCount {
	counts := map[string]admission.RepeatCount{}
	for _, r := range list {
		counts[r.Service] = admission.RepeatCount{First: int(r.First), Repeated: int(r.Repeated)}
	}
	return counts
}

func memberFromWire(m *peerv1.VmIdentity) fleet.Member {
	return fleet.Member{VM: m.Vm, Incarnation: m.Incarnation, Address: m.Address, Processor: m.ProcessorMillis, FailureDomain: m.FailureDomain}
}

func memberToWire(m fleet.Member) *peerv1.VmIdentity {
	return &peerv1.VmIdentity{Vm: m.VM, Incarnation: m.Incarnation, Address: m.Address, ProcessorMillis: m.Processor, FailureDomain: m.FailureDomain}
}
