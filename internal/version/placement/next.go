package placement

import (
	"math"

	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
)

// nextPlanner names next owners so that the loss of any failure domain spreads
// evenly over the targets that remain.
type nextPlanner struct {
	*balancer
	// inherited is the load that a target takes over when a failure domain is lost.
	inherited map[inheritance]float64
}

// inheritance names what a target takes over from a failure domain.
type inheritance struct{ target, domain string }

// repairNexts names a next owner for every slice that has none, or one that
// could not take over, or one in the owner's failure domain without need.
func (r *round) repairNexts() {
	var broken []SliceID
	p := &nextPlanner{balancer: &balancer{round: r}, inherited: map[inheritance]float64{}}
	p.measure()
	p.each(func(s *assignment.Slice) {
		if s.Moving {
			return
		}
		if p.needsNext(s) {
			broken = append(broken, IDOf(s))
			return
		}
		p.inherited[inheritance{s.Next, p.target(s.Owner).FailureDomain}] += p.load(s)
	})
	for _, id := range broken {
		p.name(id)
	}
	if r.Loads != nil {
		p.spread()
	}
}

// spread changes next owners that would be overloaded by the loss of a failure
// domain. It waits for rounds that are written anyway, as a record that is
// merely less even than it could be is not worth a version of its own, unless
// the overload is grave.
func (p *nextPlanner) spread() {
	for range p.Policy.MaxNextChanges {
		worst, ratio := p.worstInheritance()
		if ratio < p.Policy.HighWater || len(p.decisions) == 0 && ratio < graveInheritance {
			return
		}
		if !p.relieveInheritance(worst) {
			return
		}
	}
}

// graveInheritance is the ratio of a target's load to its fair share after the
// loss of a failure domain from which a version is written for it.
const graveInheritance = 1.25

// worstInheritance returns what would overload a target most, with the ratio of
// its load to its fair share after that loss.
func (p *nextPlanner) worstInheritance() (inheritance, float64) {
	capacity, lost := 0.0, map[string]float64{}
	for i := range p.nodes {
		capacity += p.nodes[i].capacity
		lost[p.nodes[i].FailureDomain] += p.nodes[i].capacity
	}
	var worst inheritance
	highest := 0.0
	for i := range p.nodes {
		n := &p.nodes[i]
		if n.capacity == 0 {
			continue
		}
		for domain, gone := range lost {
			if domain == n.FailureDomain || gone == 0 {
				continue
			}
			key := inheritance{n.Name, domain}
			ratio := (n.load + p.inherited[key]) / n.capacity / (p.total / (capacity - gone))
			if ratio > highest || ratio == highest && domain < worst.domain {
				worst, highest = key, ratio
			}
		}
	}
	return worst, highest
}

// relieveInheritance names another next owner for the slice whose change lowers
// the overload most. It reports whether there was one.
func (p *nextPlanner) relieveInheritance(from inheritance) bool {
	source := p.node(from.target)
	var to *node
	for i := range p.nodes {
		n := &p.nodes[i]
		if n.capacity == 0 || n.FailureDomain == from.domain || n.Name == from.target {
			continue
		}
		if to == nil || p.burden(n, from.domain) < p.burden(to, from.domain) {
			to = n
		}
	}
	if to == nil {
		return false
	}
	gap := (p.burden(source, from.domain) - p.burden(to, from.domain)) * to.capacity
	var best *assignment.Slice
	p.each(func(s *assignment.Slice) {
		if s.Next != from.target || s.Moving || p.target(s.Owner).FailureDomain != from.domain || p.load(s) >= gap {
			return
		}
		if best == nil || p.load(s) > p.load(best) {
			best = s
		}
	})
	if best == nil {
		return false
	}
	load := p.load(best)
	p.decide(Decision{Kind: DecideNext, Slice: IDOf(best), From: best.Next, To: to.Name, Load: load,
		Reason: "the loss of " + from.domain + " would overload the next owner"})
	reserve(best, to.Name)
	p.inherited[from] -= load
	p.inherited[inheritance{to.Name, from.domain}] += load
	return true
}

// burden returns a target's load per capacity after the loss of a failure domain.
func (p *nextPlanner) burden(n *node, domain string) float64 {
	return (n.load + p.inherited[inheritance{n.Name, domain}]) / n.capacity
}

// needsNext reports whether a slice needs another next owner.
func (p *nextPlanner) needsNext(s *assignment.Slice) bool {
	if s.Next == "" || s.Next == s.Owner || !p.usable(s.Next) {
		return true
	}
	domain := p.target(s.Owner).FailureDomain
	return p.target(s.Next).FailureDomain == domain && p.usableOutside(domain)
}

// usableOutside reports whether a failure domain other than one has a usable target.
func (p *nextPlanner) usableOutside(domain string) bool {
	for i := range p.nodes {
		if p.nodes[i].Usable() && p.nodes[i].FailureDomain != domain {
			return true
		}
	}
	return false
}

// name names the next owner that would have the lowest load after the loss of
// the owner's failure domain.
func (p *nextPlanner) name(id SliceID) {
	slice := Lookup(p.Cell, id)
	domain, load := p.target(slice.Owner).FailureDomain, p.load(slice)
	var best *node
	lowest := math.Inf(1)
	outside := p.usableOutside(domain)
	for i := range p.nodes {
		n := &p.nodes[i]
		if n.Name == slice.Owner || n.capacity == 0 || outside && n.FailureDomain == domain {
			continue
		}
		if ratio := (n.load + p.inherited[inheritance{n.Name, domain}] + load) / n.capacity; ratio < lowest {
			best, lowest = n, ratio
		}
	}
	if best == nil || best.Name == slice.Next {
		return
	}
	from, reason := slice.Next, "the former next owner cannot take over"
	if from == "" {
		reason = "the slice has a new owner"
	}
	if err := ChangeNext(p.Cell, id, best.Name); err != nil {
		panic("placement: a next owner that was checked is refused: " + err.Error())
	}
	p.inherited[inheritance{best.Name, domain}] += load
	p.decide(Decision{Kind: DecideNext, Slice: id, From: from, To: best.Name, Load: load, Reason: reason})
}
