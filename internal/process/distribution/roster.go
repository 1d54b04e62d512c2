package distribution

import (
	"slices"

	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

// roster orders the VMs that take part in the distribution: those that are
// neither leaving by their own word nor by the platform's.
type roster struct {
	// domains holds the names of the failure domains, sorted.
	domains []string
	// members holds the names of the VMs of a failure domain, sorted. The rank
	// of a VM is its position.
	members map[string][]string
}

func newRoster(vms map[string]routing.VM, platform map[string]PlatformState) roster {
	r := roster{members: map[string][]string{}}
	for name, vm := range vms {
		if vm.Leaving || platform[name] == PlatformLeaving {
			continue
		}
		r.members[vm.FailureDomain] = append(r.members[vm.FailureDomain], name)
	}
	for domain, members := range r.members {
		slices.Sort(members)
		r.domains = append(r.domains, domain)
	}
	slices.Sort(r.domains)
	return r
}

// rankOf returns the position of a VM in its failure domain, or -1.
func (r *roster) rankOf(domain, vm string) int {
	i, found := slices.BinarySearch(r.members[domain], vm)
	if !found {
		return -1
	}
	return i
}
