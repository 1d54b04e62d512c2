package faketarget

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
)

// grants is what a target has been granted. It is guarded by the target's lock.
type grants struct {
	epoch     uint64
	setNumber uint64
	haveSet   bool
	slices    []target.GrantedSlice
	lapses    time.Time
}

// accept applies a grant.
func (g *grants) accept(grant target.Grant, incarnation string, now time.Time) target.GrantReply {
	reply := target.GrantReply{Incarnation: incarnation}
	if grant.Epoch < g.epoch {
		reply.Refused, reply.HighestEpoch = true, g.epoch
		return reply
	}
	if now.UnixMilli() > grant.NotAfter && grant.NotAfter != 0 {
		// The grant waited somewhere and has lapsed meanwhile.
		reply.NeedSet = true
		return reply
	}
	if grant.Epoch > g.epoch {
		g.epoch, g.haveSet = grant.Epoch, false
	}
	if grant.Slices == nil && (!g.haveSet || g.setNumber != grant.SetNumber) || g.haveSet && grant.SetNumber < g.setNumber {
		reply.NeedSet = true
		return reply
	}
	if grant.Slices != nil {
		g.slices = append([]target.GrantedSlice(nil), grant.Slices...)
		g.setNumber, g.haveSet = grant.SetNumber, true
	}
	g.lapses = now.Add(time.Duration(grant.DurationMillis) * time.Millisecond)
	if notAfter := time.UnixMilli(grant.NotAfter); grant.NotAfter != 0 && notAfter.Before(g.lapses) {
		g.lapses = notAfter
	}
	return reply
}

// revoke takes slices away.
func (g *grants) revoke(revocation target.Revocation) {
	if revocation.Epoch < g.epoch {
		return
	}
	kept := g.slices[:0]
	for _, held := range g.slices {
		if !containsSlice(revocation.Slices, held) {
			kept = append(kept, held)
		}
	}
	g.slices = kept
}

// allows reports whether a request may run under the grants.
func (g *grants) allows(key string, fence, epoch uint64, mode GrantMode, checksFences bool, now time.Time) bool {
	if checksFences && epoch < g.epoch {
		return false
	}
	if mode == GrantsIgnored || mode == "" {
		return true
	}
	if mode == GrantsExpire && !now.Before(g.lapses) {
		return false
	}
	held := g.find(key)
	return held != nil && (!checksFences || held.Fence == fence)
}

// find returns the granted slice of a key, hot keys first.
func (g *grants) find(key string) *target.GrantedSlice {
	hash := assignment.HashKey(key)
	var found *target.GrantedSlice
	for i := range g.slices {
		held := &g.slices[i]
		if held.Key != "" && held.Key == key {
			return held
		}
		if held.Key == "" && held.First <= hash && hash <= held.Last {
			found = held
		}
	}
	return found
}

func containsSlice(slices []target.GrantedSlice, wanted target.GrantedSlice) bool {
	for _, s := range slices {
		if s.First == wanted.First && s.Last == wanted.Last && s.Key == wanted.Key {
			return true
		}
	}
	return false
}
