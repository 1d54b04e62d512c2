package distribution

import (
	"context"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
)

const (
	// watchersPerDomain is the number of live VMs of a failure domain that watch
	// the store.
	watchersPerDomain = 2
	// probesPerTick bounds how many silent VMs are passed in one tick.
	probesPerTick = 4
)

// rank is the number of live VMs that rank before this one in its failure
// domain, counted up to watchersPerDomain. Each VM asks only the nearest live
// VM before it, so that the cost does not grow with the fleet.
type rank struct {
	liveBefore uint32
	known      bool
	probing    bool
}

// probePredecessor asks the nearest VM before this one for its rank, and
// compares digests with it.
func (d *Distribution) probePredecessor() {
	if d.rank.probing {
		return
	}
	candidates := d.predecessors(time.Now())
	if len(candidates) == 0 {
		d.rank.liveBefore, d.rank.known = 0, true
		return
	}
	d.rank.probing = true
	digest := d.digest()
	go func() {
		defer d.config.Loop.Post(func() { d.rank.probing = false })
		for _, vm := range candidates {
			if reply := d.exchange(d.ctx, vm, digest); reply != nil {
				d.config.Loop.Post(func() { d.setRank(reply) })
				return
			}
		}
	}()
}

func (d *Distribution) setRank(predecessor *peerv1.Digest) {
	d.rank.liveBefore = min(watchersPerDomain, predecessor.LiveBefore+1)
	d.rank.known = true
}

// predecessors returns the VMs to ask, nearest first, without those that were
// silent a short time ago.
func (d *Distribution) predecessors(now time.Time) []string {
	members := d.roster.members[d.config.Self.FailureDomain]
	var nearest []string
	for i := d.ownRank() - 1; i >= 0 && len(nearest) < probesPerTick; i-- {
		if !d.contacts.passOver(members[i], now) {
			nearest = append(nearest, members[i])
		}
	}
	return nearest
}

// ownRank returns the own position, or -1 while the VM is not registered or leaving.
func (d *Distribution) ownRank() int {
	return d.roster.rankOf(d.config.Self.FailureDomain, d.config.Self.Name)
}

// checkWatching begins or ends watching the store.
func (d *Distribution) checkWatching() {
	wanted := d.loaded && d.ownRank() >= 0 && d.rank.known && d.rank.liveBefore < watchersPerDomain
	switch {
	case wanted && d.watching == nil:
		ctx, cancel := context.WithCancel(d.ctx)
		d.watching = cancel
		d.startWatching(ctx)
		events.WatcherStarted.Log(d.config.Logger).Uint32("liveBefore", d.rank.liveBefore).Send()
	case !wanted && d.watching != nil:
		d.watching()
		d.watching = nil
		events.WatcherStopped.Log(d.config.Logger).Send()
	}
}
