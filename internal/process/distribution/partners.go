package distribution

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

const (
	// partnersPerDomain is the number of VMs of a failure domain that a node
	// compares digests with.
	partnersPerDomain = 3
	// partnerLifetime is the interval at which one partner is replaced. Sessions
	// cost far more to open than a digest, so partners change slowly.
	partnerLifetime = 20 * time.Second
	// partnerDraws bounds the search for a VM that is not silent.
	partnerDraws = 8
)

// partners are the random VMs that a node compares digests with. The sets of
// all nodes together form a random graph that changes slowly, over which a
// version reaches every node in few rounds.
type partners struct {
	byDomain map[string][]string
	turn     int
	changed  time.Time
}

// choose returns the partner of this turn. The failure domains take turns; the
// own one takes part only if it is the only one, since the VM ranked before
// this one is asked anyway.
func (p *partners) choose(r *roster, c *contacts, self routing.VM, now time.Time) (string, bool) {
	for range r.domains {
		p.turn = (p.turn + 1) % len(r.domains)
		domain := r.domains[p.turn]
		if domain == self.FailureDomain && len(r.domains) > 1 {
			continue
		}
		if chosen := p.ofDomain(domain, r, c, self, now); len(chosen) > 0 {
			return chosen[rand.IntN(len(chosen))], true
		}
	}
	return "", false
}

// ofDomain returns the partners of a failure domain, after those that left or
// are silent were replaced.
func (p *partners) ofDomain(domain string, r *roster, c *contacts, self routing.VM, now time.Time) []string {
	if p.byDomain == nil {
		p.byDomain = map[string][]string{}
	}
	kept := slices.DeleteFunc(p.byDomain[domain], func(vm string) bool {
		return r.rankOf(domain, vm) < 0 || c.passOver(vm, now)
	})
	if now.Sub(p.changed) > partnerLifetime && len(kept) > 0 {
		p.changed = now
		kept = slices.Delete(kept, 0, 1)
	}
	for range partnerDraws {
		if len(kept) == partnersPerDomain {
			break
		}
		members := r.members[domain]
		vm := members[rand.IntN(len(members))]
		if vm != self.Name && !slices.Contains(kept, vm) && !c.passOver(vm, now) {
			kept = append(kept, vm)
		}
	}
	p.byDomain[domain] = kept
	return kept
}
