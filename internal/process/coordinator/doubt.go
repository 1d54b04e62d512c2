package coordinator

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
	"github.com/chestnutcourse/chestnutcourse/internal/version/keyspace"
)

// An order goes to an address, and nothing in it names the process that it is for.
// While a target is out of reach it may end, and another may start at its address.
// A fence that the first one had must not reach the second, so a slice is granted
// again at its fence only while the process at the address is vouched for.

// vouch notes that the process at the owner's address has a fence, or may have it.
// Unless a renewal is confirmed, the process is vouched for until the grant runs out.
func (k *keeper) vouch(fence uint64, now time.Time) {
	k.vouchedUntil[fence] = now.Add(k.hold)
}

// renewedWithin is the time since an owner's last confirmation up to which its
// slices count as renewed: one renewal may be missing.
const renewedWithin = 2 * renewEvery

// noteRenewed notes which slices are renewed, and reports whether that has changed.
func (k *keeper) noteRenewed(now time.Time) bool {
	changed := false
	for _, list := range k.slices {
		for i := range list {
			s := &list[i]
			confirmed := k.vouchedUntil[s.Fence].Add(-k.hold)
			renewed := s.Ready && now.Sub(confirmed) < renewedWithin
			changed = changed || renewed != s.Renewed
			s.Renewed = renewed
		}
	}
	return changed
}

// vouchedByFormer returns until when the process at the owner's address is vouched
// for that a former leader may have sent a fence. s is the slice as the former
// leader had it at the time asOf, if same is set. If it was not renewed then, its
// owner may have ended; if it was unknown, the fence is later.
func (k *keeper) vouchedByFormer(s *fleet.Slice, same bool, asOf time.Time) time.Time {
	switch {
	case !same:
		return asOf.Add(k.hold)
	case s.Ready && s.Renewed:
		return asOf.Add(k.hold - renewedWithin)
	}
	return asOf
}

// doubt ends the vouching for a life whose port refused connections but that is not
// known to have ended.
func (k *keeper) doubt(life fleet.Life, now time.Time) {
	for _, list := range k.slices {
		for i := range list {
			if _, sent := k.vouchedUntil[list[i].Fence]; sent && list[i].Owner == life {
				k.vouchedUntil[list[i].Fence] = now
			}
		}
	}
}

// doubtful reports whether another process may be at the owner's address by now.
func (k *keeper) doubtful(s *fleet.Slice, now time.Time) bool {
	until, sent := k.vouchedUntil[s.Fence]
	return sent && !now.Before(until)
}

// doubtfulSlices returns the slices of a service to grant anew.
func (k *keeper) doubtfulSlices(service string, owners []keyspace.Owner, now time.Time) []*fleet.Slice {
	usable := map[fleet.Life]bool{}
	for _, o := range owners {
		usable[o.Life] = o.Capacity > 0
	}
	var found []*fleet.Slice
	for i := range k.slices[service] {
		s := &k.slices[service][i]
		if len(s.From) == 0 && usable[s.Owner] && k.doubtful(s, now) {
			found = append(found, s)
		}
	}
	return found
}

// regrant gives doubtful slices of a service to their owners anew, each at a fence
// of its own. It reports whether there were any.
func (c *Coordinator) regrant(service string, owners []keyspace.Owner, now time.Time) bool {
	k := c.lead.keeper
	doubtful := k.doubtfulSlices(service, owners, now)
	if len(doubtful) == 0 {
		return false
	}
	counts := map[string]int{}
	for _, s := range doubtful {
		counts[s.Owner.ID]++
	}
	for id, count := range counts {
		events.TargetDoubted.Log(c.config.Logger).Str("service", service).Str("target", id).Int("slices", count).
			Dur("grant_lasts", k.hold).Send()
	}
	c.refence(service, doubtful...)
	return true
}

// replacedLives returns the targets at whose address a later one is registered.
// They get no orders, which the later one would take.
func replacedLives(targets map[string]*fleet.Target) map[fleet.Life]bool {
	latest := map[string]*fleet.Target{}
	for _, t := range targets {
		if other := latest[t.Address]; other == nil || t.Born > other.Born {
			latest[t.Address] = t
		}
	}
	replaced := map[fleet.Life]bool{}
	for _, t := range targets {
		if t.Born < latest[t.Address].Born {
			replaced[t.Life] = true
		}
	}
	return replaced
}
