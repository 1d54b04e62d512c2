package manifest

import (
	"fmt"
	"slices"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

// ServiceLoad is the mean number of occupied slots of a service, over all of
// its targets.
type ServiceLoad struct {
	Service string  `json:"service"`
	Busy    float64 `json:"busy"`
}

// spareShare is the share of the remaining slots that the load may occupy
// after a change; the rest is headroom for bursts.
const spareShare = 0.8

// CheckChange returns what a change from current to next would take away that
// the deployment needs: the last failure domain in service, the last target of
// a service in service, or more slots than the load leaves free. current is
// nil for the first manifest. Services without a load are checked only for
// their last target. An operator may force a change in spite of the problems.
func CheckChange(current, next *Manifest, loads []ServiceLoad) Problems {
	var problems Problems
	if current == nil {
		return problems
	}
	checkDomains(&problems, current, next)
	for i := range current.Services {
		checkCapacity(&problems, &current.Services[i], current, next, loads)
	}
	return problems
}

// CheckChangeErr is CheckChange as an error of kind Refused.
func CheckChangeErr(current, next *Manifest, loads []ServiceLoad) error {
	problems := CheckChange(current, next, loads)
	if len(problems) == 0 {
		return nil
	}
	return fault.Wrap(problems, fault.Refused, "change less at once, or force the change", "the change takes out more than the deployment can spare")
}

func checkDomains(problems *Problems, current, next *Manifest) {
	if domainsIn(current) > 0 && domainsIn(next) == 0 {
		problems.add("failureDomains", "leave at least one in service", "the change takes out the last failure domain")
	}
}

func domainsIn(m *Manifest) int {
	count := 0
	for _, domain := range m.FailureDomains {
		if !domain.Out {
			count++
		}
	}
	return count
}

// checkCapacity compares the slots in service before and after with the load.
// A change that takes no slots away is never refused.
func checkCapacity(problems *Problems, service *Service, current, next *Manifest, loads []ServiceLoad) {
	declared := slices.ContainsFunc(next.Services, func(s Service) bool { return s.Name == service.Name })
	before, after := slotsInService(current, service.Name), slotsInService(next, service.Name)
	if !declared || after >= before {
		return
	}
	path := fmt.Sprintf("services[%s]", service.Name)
	if after == 0 {
		problems.add(path, "leave a target in service", "the change takes out the last target of service %q", service.Name)
		return
	}
	for _, load := range loads {
		if load.Service == service.Name && load.Busy > spareShare*float64(after) {
			problems.add(path, "drain fewer targets, or add capacity first",
				"the load occupies %.1f slots; the change leaves %d of %d, and at most %.0f%% of them may be occupied",
				load.Busy, after, before, spareShare*100)
		}
	}
}

// slotsInService returns the slots of a service's targets that take new work.
func slotsInService(m *Manifest, service string) int {
	out := map[string]bool{}
	for _, domain := range m.FailureDomains {
		out[domain.Name] = domain.Out
	}
	slots := 0
	for i := range m.Targets {
		t := &m.Targets[i]
		if t.Service == service && !t.Drain && !out[t.FailureDomain] {
			slots += t.Slots
		}
	}
	return slots
}
