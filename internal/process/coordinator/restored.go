package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// A store that is restored from a copy some seconds old begins another era. Writes of the record
// are then lost, with the moves, the reserved fences and the changes of the leader that they
// held, and a revision no longer names one state. The record names the era in which it was
// written, so whoever reads it in another one knows that later writes may be lost.
//
// The first write in an era is a recovery. Its term and its fences lie beyond those that lost
// writes can have used, and until no leader of before can have a grant in force, nothing is
// granted at a new fence. It is made by the leader, if most VMs have followed it until then:
// then no other leader has moved keys of a target that did not release them, and the leader
// goes on to renew the grants at fences that it has sent. Otherwise a VM that takes over makes
// it and waits with all grants.

const (
	// termJump is added to the highest known term by a recovery: lost writes may have had
	// higher ones.
	termJump = 1 << 20
	// fenceJump is added to the highest known fence by a recovery. It exceeds what writes of
	// the record can reserve in 10 minutes, at 400 a second.
	fenceJump = 1 << 32
)

// ofPastEra reports whether a record that was read at a version was written before the store
// was restored.
func (c *Coordinator) ofPastEra(record *fleet.Record, version int64) bool {
	return record.Era != "" && record.Era != c.config.Eras.Name(version)
}

// recoveredFences returns the fences of a recovery, above all that lost writes can have reserved.
func recoveredFences(known uint64, slices map[string][]fleet.Slice) fenceRange {
	return fencesAfter(&fleet.Record{LastFence: known + fenceJump, Slices: slices})
}

// recoveredSlices returns the slices of a record of a past era with the owners that this VM
// knows of, unless it has heard of no leader as late as the record's.
func (c *Coordinator) recoveredSlices(record *fleet.Record) map[string][]fleet.Slice {
	recovered := maps.Clone(record.Slices)
	if recovered == nil {
		recovered = map[string][]fleet.Slice{}
	}
	if c.view.Term < record.Term {
		return recovered
	}
	for service, list := range c.view.Slices {
		if len(list) == 0 {
			continue
		}
		recovered[service] = slices.Clone(list)
		for i := range recovered[service] {
			recovered[service][i].Ready = false
		}
	}
	return recovered
}

// recoverRecord writes the leader's record again after the store has been restored.
func (c *Coordinator) recoverRecord() {
	l := c.lead
	if !c.mostFollow() {
		c.stepDown("the store has been restored and most VMs may follow another leader")
		return
	}
	l.writing = true
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
		defer cancel()
		found, version, err := c.readRecord(ctx)
		c.config.Loop.Post(func() {
			if c.lead != l {
				return
			}
			l.writing = false
			switch {
			case err != nil && !fault.Is(err, fault.NotFound):
				l.renewRecordAt = time.Now().Add(recordRenewRetry)
			case found.Term > l.record.Term, found.Era != "" && !c.ofPastEra(found, version):
				c.stepDown("another VM has taken over since the store was restored")
			case !c.mostFollow():
				c.stepDown("the store has been restored and most VMs may follow another leader")
			default:
				c.writeRecovery(version, l.record.Term)
			}
		})
	}()
}

// readRecord reads the record. It returns an empty one with an error.
func (c *Coordinator) readRecord(ctx context.Context) (*fleet.Record, int64, error) {
	object, err := c.config.Store.Get(ctx, c.config.RecordName)
	if err != nil {
		return &fleet.Record{}, store.Absent, err
	}
	record, err := decodeRecord(object.Value)
	if err != nil {
		return &fleet.Record{}, store.Absent, err
	}
	return record, object.Version, nil
}

// writeRecovery writes the leader's record over the one at a version, as a recovery with a term
// above a known one.
func (c *Coordinator) writeRecovery(version int64, known uint64) {
	l := c.lead
	fences := recoveredFences(max(c.lastFence, l.record.LastFence, l.leaseTable.fences.reserved()), l.leaseTable.slices)
	record := l.record
	record.Term, record.LastFence, record.Recovering = max(known, record.Term)+termJump, fences.last, true
	c.putRecord(record, version, func(written fleet.Record) {
		l.leaseTable.beginRecovery(fences)
		l.soleLeader = false
		view := *c.view
		view.Term = written.Term
		c.publish(&view)
		events.RecordRecovered.Log(c.config.Logger).Uint64("term", written.Term).Int64("revision", store.Revision(l.revision)).
			Str("era", written.Era).Uint64("first_fence", fences.next).Send()
		c.pushAll()
	}, func(error) {})
}

// endRecovery ends the recovery once a majority follows this leader and no grant of another can
// be in force. Each of them has told the fences that it has heard of, so these are above those
// of a recovery that was lost in turn.
func (c *Coordinator) endRecovery(now time.Time) {
	l := c.lead
	lt := l.leaseTable
	switch {
	case !lt.recovering || l.writing || !lt.soleLeader || now.Before(lt.formerGrantsUntil):
	case c.lastFence > l.record.LastFence:
		c.writeRecovery(l.revision, l.record.Term)
	default:
		lt.recovering = false
		l.renewRecordAt, l.planAt = time.Time{}, time.Time{}
		events.RecoveryEnded.Log(c.config.Logger).Uint64("term", l.record.Term).Send()
	}
}

// noteHigherTerm handles a VM's word that it knows a higher term than that of this leader: a
// leader of a lost write had it. The VM follows this one once it has a term above that.
func (c *Coordinator) noteHigherTerm(term uint64) {
	if l := c.lead; l != nil && !l.writing && term > l.record.Term && c.config.Eras.Name(l.revision) != "" {
		c.writeRecovery(l.revision, term)
	}
}

// beginRecovery lets no fence be granted that has not been sent yet, until endRecovery, and
// replaces those that slices have.
func (lt *leaseTable) beginRecovery(fences fenceRange) {
	lt.recovering, lt.soleLeader, lt.formerLeaderEnded = true, false, false
	lt.fences = fences
	for _, list := range lt.slices {
		for i := range list {
			if !lt.sentFences[list[i].Fence] {
				lt.refence(&list[i], 0)
			}
		}
	}
}
