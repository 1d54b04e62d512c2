package admission

import (
	"sort"
	"time"
)

// The owner of a key may be unable to take requests: the key is on its way to it, it accepts
// no connections, or it is leaving. A planned move takes less time than one request; after the loss
// of an owner it takes until the former owner's grants have run out, which is longer than
// most callers wait. The broker does not know which it is, and expects that what has lasted
// for some time goes on for as long again. Requests that are too late by then are refused
// at once, those that wait included, so that their callers can use the time that they have
// left. This answers the loss of owners of keys; it holds nothing back in a planned move.

// blockedRange is a range of keys whose owner is not ready.
type blockedRange struct {
	// first and last are the first and last key, both inclusive.
	first, last uint16
	since       time.Time
}

// updateBlocked updates the blocked ranges by the present slices. A range that was blocked
// before, also as a part of another, keeps its beginning.
func (p *pool) updateBlocked(now time.Time) {
	var blocked []blockedRange
	before := p.blocked
	for i := range p.slices {
		s := &p.slices[i]
		if s.Ready {
			continue
		}
		added := blockedRange{s.First, s.Last, now}
		for len(before) > 0 && before[0].last < s.First {
			before = before[1:]
		}
		for _, former := range before {
			if former.first > s.Last {
				break
			}
			if former.since.Before(added.since) {
				added.since = former.since
			}
		}
		blocked = append(blocked, added)
	}
	p.blocked = blocked
}

// blockedFor returns for how long the owner of a request's key has been unable to take
// requests; 0 if it can, and for a service without keys.
func (p *pool) blockedFor(r *Request, now time.Time) time.Duration {
	if !p.service.Keyed {
		return 0
	}
	i := sort.Search(len(p.blocked), func(i int) bool { return p.blocked[i].last >= r.Key })
	if i < len(p.blocked) && p.blocked[i].first <= r.Key {
		return now.Sub(p.blocked[i].since)
	}
	t := p.owner(r.Key)
	if t == nil {
		return 0
	}
	leaving := p.restriction(t)
	switch {
	case leaving.Leaving:
		return now.Sub(leaving.Since)
	case now.Before(t.backoffUntil):
		return now.Sub(t.unreachableSince)
	case now.Before(t.silentUntil):
		return now.Sub(t.silentSince)
	}
	return 0
}

// blockedTooLong reports whether a request will probably be too late by the time at which
// the owner of its key, or any target of a service without keys, takes requests again.
func (p *pool) blockedTooLong(r *Request, now time.Time) (expected time.Duration, tooLong bool) {
	expected = max(p.blockedFor(r, now), p.restLeft(r, now))
	work := seconds(p.classWork(r.Class, r.Aim.Sub(r.arrived))) + transitTime
	return expected, expected > 0 && now.Add(expected+work).After(r.Deadline)
}
