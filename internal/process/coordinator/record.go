package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// detectStall detects that the process has stalled since the last tick.
func (c *Coordinator) detectStall() {
	l := c.lead
	now := c.config.Uptime()
	if l.tickedAt != 0 && now-l.tickedAt > stallThreshold {
		l.stalledAt = now
		l.renewRecordAt = time.Time{}
		events.LeaderStalled.Log(c.config.Logger).Uint64("term", l.record.Term).Dur("stopped", now-l.tickedAt).Send()
	}
	l.tickedAt = now
}

// noteLaterLeader records that a target has seen the fence of a later leader. VMs that
// follow this leader may not know the later one, so only the store can confirm the
// leadership from then on.
func (l *leadership) noteLaterLeader(now time.Duration) {
	l.laterLeaderSeenAt = now
	l.renewRecordAt = time.Time{}
}

// mayAct reports whether the leadership is confirmed: the store or a majority of the
// VMs has confirmed it within leaderLease, and since the last stall.
func (c *Coordinator) mayAct() bool {
	l := c.lead
	now := c.config.Uptime()
	if now-l.tickedAt > stallThreshold || l.stalledAt != 0 && now-l.stalledAt < stallRecovery {
		return false
	}
	if l.laterLeaderSeenAt != 0 && l.storeConfirmedAt < l.laterLeaderSeenAt {
		return false
	}
	if l.leaseTable.recovering {
		// The store does not know what leaders of before it was restored have done.
		return c.mostFollow()
	}
	return now-l.storeConfirmedAt < leaderLease && l.storeConfirmedAt >= l.stalledAt || c.hasMajority()
}

// hasMajority reports whether a majority of the VMs has followed this leader within
// leaderLease. A VM follows one leader at a time and never goes back to a lower term.
func (c *Coordinator) hasMajority() bool {
	l := c.lead
	now := c.config.Uptime()
	followers := 1
	for _, m := range l.members {
		if m.term == l.record.Term && now-m.followConfirmedAt < leaderLease && m.followConfirmedAt > l.stalledAt {
			followers++
		}
	}
	return l.otherVoters() > 0 && 2*followers > l.otherVoters()+1
}

// mostFollow reports whether a majority of the VMs follows this leader, or there is no
// other that could follow one.
func (c *Coordinator) mostFollow() bool { return c.lead.otherVoters() == 0 || c.hasMajority() }

// leadershipConfirmedAt returns the latest uptime at which this VM is known to have led:
// the store named no other leader then, or a majority of the VMs followed this one.
func (c *Coordinator) leadershipConfirmedAt() time.Duration {
	l := c.lead
	var followed []time.Duration
	for _, m := range l.members {
		if m.term == l.record.Term {
			followed = append(followed, m.followConfirmedAt)
		}
	}
	needed := (l.otherVoters() + 1) / 2
	if needed == 0 || len(followed) < needed {
		return l.storeConfirmedAt
	}
	slices.Sort(followed)
	return max(l.storeConfirmedAt, followed[len(followed)-needed])
}

// otherVoters returns the number of other VMs to count for a majority. VMs removed since
// the store last confirmed this leader still count, as they may follow another.
func (l *leadership) otherVoters() int { return max(len(l.members), l.membersAtConfirmation) }

// detectSoleLeader records that former leaders can act for no longer than leaderLease
// from now on, once a majority of the VMs follows this leader or there are no others.
func (c *Coordinator) detectSoleLeader(now time.Time) {
	l := c.lead
	if l.soleLeader || !c.mostFollow() {
		return
	}
	l.soleLeader = true
	l.leaseTable.setSoleLeader(now.Add(leaderLease))
}

// detectStoreLoss detects that the store is lost or regained, and notifies the other VMs.
func (c *Coordinator) detectStoreLoss(now time.Time) {
	l := c.lead
	lost := now.Sub(l.storeAnsweredAt) > storeLostAfter
	if lost == l.storeLost {
		return
	}
	l.storeLost = lost
	events.StoreReach.Log(c.config.Logger).Bool("lost", lost).Dur("silent", now.Sub(l.storeAnsweredAt)).Send()
	c.pushAll()
}

// renewRecord writes the record, when it is due, with no change but the number of the
// write.
func (c *Coordinator) renewRecord(now time.Time) {
	l := c.lead
	if l.writing || now.Before(l.renewRecordAt) {
		return
	}
	c.updateRecord(l.record, func(err error) {
		if err != nil {
			l.renewRecordAt = time.Now().Add(recordRenewRetry)
		}
	})
}

// updateRecord writes the leader's record. It calls done on the loop with the result,
// unless the leadership has ended.
func (c *Coordinator) updateRecord(record fleet.Record, done func(error)) {
	record.LastFence, record.Recovering = c.lead.leaseTable.fences.reserved(), c.lead.leaseTable.recovering
	c.putRecord(record, c.lead.revision, func(fleet.Record) { done(nil) }, done)
}

// putRecord writes the leader's record over the one at a revision. It calls written or failed on
// the loop with the result, unless the leadership has ended.
func (c *Coordinator) putRecord(record fleet.Record, revision int64, written func(fleet.Record), failed func(error)) {
	l := c.lead
	l.writing = true
	l.writes++
	record.Write, record.Era = l.writes, c.config.Eras.Name(revision)
	began := c.config.Uptime()
	go func() {
		version, err := c.writeRecord(&record, revision)
		c.config.Loop.Post(func() {
			if c.lead != l {
				return
			}
			l.writing = false
			l.noteStoreAnswer(err, time.Now())
			c.observer.NoteStoreAnswer(err, time.Now())
			switch {
			case err == nil && c.ofPastEra(&record, version):
				c.stepDown("the store has been restored while the record was written")
			case err == nil:
				l.record, l.revision, l.storeConfirmedAt = record, version, began
				l.membersAtConfirmation = len(l.members)
				l.leaseTable.fences.last = record.LastFence
				l.leaseTable.prune()
				l.renewRecordAt = time.Now().Add(recordRenewEvery)
				c.lastFence = max(c.lastFence, record.LastFence)
				written(record)
			case fault.Is(err, fault.Conflict) && errors.Is(err, store.ErrRestored):
				failed(err)
				c.recoverRecord()
			case fault.Is(err, fault.Conflict), errors.Is(err, store.ErrRestored):
				c.stepDown("another VM has changed the record")
			default:
				failed(err)
			}
		})
	}()
}

// noteStoreAnswer records whether a call to the store was answered.
func (l *leadership) noteStoreAnswer(err error, now time.Time) {
	if err == nil || fault.Is(err, fault.Conflict) || fault.Is(err, fault.NotFound) {
		l.storeAnsweredAt = now
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
		if errors.Is(err, store.ErrRestored) {
			if unknown && fault.Is(err, fault.Conflict) {
				err = fault.Wrap(store.ErrRestored, fault.UnknownOutcome, "read the record again", "an earlier attempt to write the record may have replaced one that was not read")
			}
			return 0, err
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
	if found.Leader.Incarnation == record.Leader.Incarnation && found.Term == record.Term && found.Write == record.Write && found.Era == record.Era {
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

// withSlices returns a copy of the record with other slices for one service.
func (l *leadership) withSlices(service string, list []fleet.Slice) fleet.Record {
	record := l.record
	record.Slices = maps.Clone(record.Slices)
	if record.Slices == nil {
		record.Slices = map[string][]fleet.Slice{}
	}
	record.Slices[service] = list
	return record
}
