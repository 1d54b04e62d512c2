package observer

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
)

// A store that is restored from a copy begins another era (store.Eras). Operators and targets
// write again what the copy lacks, but not at once. Until then a list tells of a past that this
// VM may know to be over: a target that has left is in service, a new one is missing, an
// evacuation has not begun or has not ended. What is known is kept against such a list; what is
// written after it is true. The configuration needs none of this, as its version rises.

const (
	// rewriteTime is how long an entry that is missing after a restore may take to be written
	// again.
	rewriteTime = 5 * time.Second
	// holdBackTime is how long an entry that may be the copy's does not undo what is known. An
	// entry that is still there then is true: a target that has left or ended does not keep it.
	holdBackTime = 15 * time.Second
)

// copiedList is the first list of a prefix in an era of the store.
type copiedList struct {
	// era is the era of what is known of the prefix, present that of the last list; they
	// differ while the knowledge of the former holds against lists of the latter.
	era, present string
	// version and listedAt are those of the first list of the present era; zero if the store
	// has not been restored since this VM knows it.
	version  int64
	listedAt time.Time
}

// seed records the era of what another VM has told; "" if it is unknown.
func (c *copiedList) seed(era string) {
	if era != c.present {
		*c = copiedList{era: era, present: era}
	}
}

// includes reports whether an entry at a version may be one of the copy that has not been
// written again.
func (c *copiedList) includes(version int64, now time.Time) bool {
	return !c.listedAt.IsZero() && version <= c.version && now.Before(c.listedAt.Add(holdBackTime))
}

// rewrittenBy returns the time by which missing entries are written again, if they are.
func (c *copiedList) rewrittenBy() time.Time {
	if c.listedAt.IsZero() {
		return time.Time{}
	}
	return c.listedAt.Add(rewriteTime)
}

// noteList records the version of a list of a prefix.
func (o *Observer) noteList(prefix string, c *copiedList, version int64) {
	era := o.config.Eras.Name(version)
	if era == c.present {
		return
	}
	if c.present != "" {
		c.version, c.listedAt = version, time.Now()
		events.StoreRestored.Log(o.config.Logger).Str("prefix", prefix).Str("era_before", c.present).Str("era", era).
			Int64("revision", store.Revision(version)).Send()
	} else {
		c.era = era
	}
	c.present = era
}

// mayBeCopied reports whether a list of the targets at a version may hold entries of a copy.
func (o *Observer) mayBeCopied(version int64, now time.Time) bool {
	return o.config.Eras.Name(version) != o.copiedTargets.present || now.Before(o.copiedTargets.rewrittenBy())
}

// Era returns the era of the store that the declarations are of. After a restore it is the
// former one until the entries have been written again, so that a VM which is told of it treats
// its first list with the same care.
func (o *Observer) Era() string { return o.copiedTargets.era }

// tickRestored ends the times for which knowledge holds against the lists of a restored store.
// It reports whether anything changed.
func (o *Observer) tickRestored(now time.Time) bool {
	changed := false
	if c := &o.copiedEvacuations; !c.listedAt.IsZero() {
		if !now.Before(c.rewrittenBy()) {
			for domain := range o.evacuated {
				if !o.declaredEvacuations[domain] {
					o.restore(domain)
					changed = true
				}
			}
		}
		if !now.Before(c.listedAt.Add(holdBackTime)) {
			for domain := range o.declaredEvacuations {
				changed = changed || !o.evacuated[domain]
				o.evacuate(domain)
			}
			*c = copiedList{era: c.present, present: c.present}
		}
	}
	if c := &o.copiedTargets; !c.listedAt.IsZero() && !now.Before(c.listedAt.Add(holdBackTime)) {
		*c = copiedList{era: c.present, present: c.present}
		for _, object := range o.heldBack {
			o.applyTarget(object)
			changed = true
		}
		clear(o.heldBack)
	}
	return changed
}
