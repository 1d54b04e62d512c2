package coordinator

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// noteStall detects that the process has stalled since the last tick.
func (c *Coordinator) noteStall() {
	l := c.lead
	now := c.config.Uptime()
	if l.tickedAt != 0 && now-l.tickedAt > stall {
		l.stalledAt = now
		l.touchAt = time.Time{}
		events.LeaderStalled.Log(c.config.Logger).Uint64("term", l.record.Term).Dur("stopped", now-l.tickedAt).Send()
	}
	l.tickedAt = now
}

// outdone records that a target has seen the fence of a later leader. VMs that follow
// this leader may not know the later one, so only the store can confirm the
// leadership from then on.
func (l *leadership) outdone(now time.Duration) {
	l.outdoneAt = now
	l.touchAt = time.Time{}
}

// mayAct reports whether the leadership is confirmed: the store or a majority of the
// VMs has confirmed it within authority, and since the last stall.
func (c *Coordinator) mayAct() bool {
	l := c.lead
	now := c.config.Uptime()
	if now-l.tickedAt > stall || l.stalledAt != 0 && now-l.stalledAt < afterStall {
		return false
	}
	if l.outdoneAt != 0 && l.confirmedAt < l.outdoneAt {
		return false
	}
	return now-l.confirmedAt < authority && l.confirmedAt >= l.stalledAt || c.majority()
}

// majority reports whether a majority of the VMs has followed this leader within
// authority. A VM follows one leader at a time and never goes back to a lower term.
func (c *Coordinator) majority() bool {
	l := c.lead
	now := c.config.Uptime()
	following := 1
	for _, m := range l.members {
		if m.term == l.record.Term && now-m.followedAt < authority && m.followedAt > l.stalledAt {
			following++
		}
	}
	return l.others() > 0 && 2*following > l.others()+1
}

// confirmedAt returns the latest uptime at which this VM is known to have led: the
// store named no other leader then, or a majority of the VMs followed this one.
func (c *Coordinator) confirmedAt() time.Duration {
	l := c.lead
	var followed []time.Duration
	for _, m := range l.members {
		if m.term == l.record.Term {
			followed = append(followed, m.followedAt)
		}
	}
	most := (l.others() + 1) / 2
	if most == 0 || len(followed) < most {
		return l.confirmedAt
	}
	slices.Sort(followed)
	return max(l.confirmedAt, followed[len(followed)-most])
}

// others returns the number of other VMs to count for a majority. VMs removed since
// the store last confirmed this leader still count, as they may follow another.
func (l *leadership) others() int { return max(len(l.members), l.confirmedMembers) }

// supersede records that former leaders can act for no longer than authority from now
// on, once a majority of the VMs follows this leader or there are no others.
func (c *Coordinator) supersede(now time.Time) {
	l := c.lead
	if l.superseded || !c.majority() && l.others() > 0 {
		return
	}
	l.superseded = true
	l.keeper.setSoleLeader(now.Add(authority))
}

// noteStore detects that the store is lost or regained, and notifies the other VMs.
func (c *Coordinator) noteStore(now time.Time) {
	l := c.lead
	lost := now.Sub(l.storeHeardAt) > storeLostAfter
	if lost == l.storeLost {
		return
	}
	l.storeLost = lost
	events.StoreReach.Log(c.config.Logger).Bool("lost", lost).Dur("silent", now.Sub(l.storeHeardAt)).Send()
	c.pushAll()
}

// touch writes the record, when it is due, with no change but the number of the write.
func (c *Coordinator) touch(now time.Time) {
	l := c.lead
	if l.writing || now.Before(l.touchAt) {
		return
	}
	c.write(l.record, func(err error) {
		if err != nil {
			l.touchAt = time.Now().Add(touchRetry)
		}
	})
}

// write writes the leader's record. It calls done on the loop with the result, unless
// the leadership has ended.
func (c *Coordinator) write(record fleet.Record, done func(error)) {
	l := c.lead
	l.writing = true
	l.writes++
	record.Write = l.writes
	record.LastFence = l.keeper.fences.reserved()
	revision := l.revision
	began := c.config.Uptime()
	go func() {
		version, err := c.writeRecord(&record, revision)
		c.config.Loop.Post(func() {
			if c.lead != l {
				return
			}
			l.writing = false
			l.storeContact(err, time.Now())
			if fault.Is(err, fault.Conflict) {
				c.stepDown("another VM has changed the record")
				return
			}
			if err == nil {
				l.record, l.revision, l.confirmedAt = record, version, began
				l.confirmedMembers = len(l.members)
				l.keeper.fences.last = record.LastFence
				l.keeper.prune()
				l.touchAt = time.Now().Add(touchEvery)
			}
			done(err)
		})
	}()
}

// storeContact records whether a call to the store was answered.
func (l *leadership) storeContact(err error, now time.Time) {
	if err == nil || fault.Is(err, fault.Conflict) || fault.Is(err, fault.NotFound) {
		l.storeHeardAt = now
	}
}

// writeRecord writes the record if it is at the given revision, and returns the new
// revision. A write without an answer may still take effect later, so it is repeated
// until the store answers or the record is at another revision.
func (c *Coordinator) writeRecord(record *fleet.Record, revision int64) (int64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	for unknown := false; ; time.Sleep(writeRetry) {
		ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
		version, err := c.config.Store.Put(ctx, c.config.RecordName, value, revision)
		cancel()
		if err == nil || c.ctx.Err() != nil {
			return version, err
		}
		if fault.Is(err, fault.Conflict) {
			return c.readBack(record, err)
		}
		unknown = unknown || fault.Is(err, fault.UnknownOutcome)
		if !unknown {
			return 0, err
		}
	}
}

// readBack handles a conflict: it finds out whether an earlier attempt of the same
// write had taken effect, and otherwise returns the error refused.
func (c *Coordinator) readBack(record *fleet.Record, refused error) (int64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
	defer cancel()
	object, err := c.config.Store.Get(ctx, c.config.RecordName)
	if err != nil {
		return 0, fault.Wrap(err, fault.UnknownOutcome, "read the record again", "cannot read the leader record back after a conflicting write")
	}
	found, err := decodeRecord(object.Value)
	if err != nil {
		return 0, err
	}
	if found.Leader.Incarnation == record.Leader.Incarnation && found.Term == record.Term && found.Write == record.Write {
		return object.Version, nil
	}
	return 0, refused
}

// decodeRecord decodes the leader record.
func decodeRecord(value []byte) (*fleet.Record, error) {
	record := &fleet.Record{}
	if err := json.Unmarshal(value, record); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "delete the object", "the leader record in the store cannot be decoded")
	}
	return record, nil
}

// next returns a copy of the record with other slices for one service.
func (l *leadership) next(service string, list []fleet.Slice) fleet.Record {
	record := l.record
	record.Slices = maps.Clone(record.Slices)
	if record.Slices == nil {
		record.Slices = map[string][]fleet.Slice{}
	}
	record.Slices[service] = list
	return record
}
