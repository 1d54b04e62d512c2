package distribution

import (
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
)

const (
	// maxContactAge is the age of the last contact with the store, along the
	// chain of peers, up to which a node takes new work.
	maxContactAge = 4 * time.Second
	// peersValidity is how long the finding that enough peers are reachable
	// holds without being repeated.
	peersValidity = 2 * tickInterval
)

// readiness says whether the node may take new work. It lapses on its own, so
// that a node that was paused is not ready when it wakes.
type readiness struct {
	// reason is empty while the node is ready.
	reason outcome.Reason
	until  time.Time
	// storeContact is the latest time at which the store is known to have answered.
	storeContact time.Time
}

// Ready reports whether the node may take new work, and if not, why:
//   - CutOff: neither the store nor enough peers can be reached, or the
//     configuration is not loaded yet;
//   - NoService: there is no manifest;
//   - Draining: the manifest drains this VM or takes its failure domain out.
//     The balancer has to turn away; requests that still arrive may be served.
func (d *Distribution) Ready() (outcome.Reason, bool) {
	current := d.readiness.Load()
	if current.reason == "" && time.Now().After(current.until) {
		return outcome.CutOff, false
	}
	return current.reason, current.reason == ""
}

// StoreContactAge returns how long ago the store is known to have answered
// this node or one that it heard from, along the chain; negative if never.
func (d *Distribution) StoreContactAge() time.Duration {
	contact := d.readiness.Load().storeContact
	if contact.IsZero() {
		return -1
	}
	return time.Since(contact)
}

// checkReadiness judges readiness on the loop.
func (d *Distribution) checkReadiness(now time.Time) {
	if !d.contacts.store.IsZero() {
		d.metrics.contactAge.Update(now.Sub(d.contacts.store).Seconds())
	}
	next := &readiness{until: d.contacts.store.Add(maxContactAge), storeContact: d.contacts.store}
	if d.enoughPeers() {
		next.until = latest(next.until, now.Add(peersValidity))
	}
	next.reason = d.reasonAgainst(now, next.until)
	before := d.readiness.Swap(next)
	if before.reason != next.reason {
		events.ReadinessChanged.Log(d.config.Logger).Bool("ready", next.reason == "").Str("reason", string(next.reason)).Send()
	}
}

func (d *Distribution) reasonAgainst(now, until time.Time) outcome.Reason {
	switch {
	case !d.loaded || now.After(until):
		return outcome.CutOff
	case d.view.manifest == nil:
		return outcome.NoService
	case d.drained():
		return outcome.Draining
	}
	return ""
}

// drained reports whether the manifest takes this VM out of service.
func (d *Distribution) drained() bool {
	if slices.Contains(d.view.manifest.DrainVMs, d.config.Self.Name) {
		return true
	}
	for _, domain := range d.view.manifest.FailureDomains {
		if domain.Name == d.config.Self.FailureDomain {
			return domain.Out
		}
	}
	return false
}

// enoughPeers reports whether peers of at least half of the failure domains
// answered a short time ago. The own domain counts once any peer answered. A
// VM without peers has nobody to be cut off from.
func (d *Distribution) enoughPeers() bool {
	if len(d.view.vms) <= 1 {
		return len(d.view.vms) == 1 && d.ownRank() >= 0
	}
	reached := map[string]bool{}
	for vm := range d.contacts.answered {
		if domain := d.view.vms[vm].FailureDomain; domain != "" {
			reached[domain] = true
			reached[d.config.Self.FailureDomain] = true
		}
	}
	return len(reached) > 0 && 2*len(reached) >= len(d.roster.domains)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
