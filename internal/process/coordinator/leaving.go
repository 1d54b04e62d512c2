package coordinator

import (
	"maps"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// TargetLeaving handles a target's word, in a response to this VM's broker or to this VM,
// that it is leaving. A leader tells the other VMs with the next change of the declarations
// and moves the target's keys; the store says the same later, or not at all.
func (c *Coordinator) TargetLeaving(life fleet.Life) {
	t := c.view.Targets[life.ID]
	if t == nil || t.Life != life || c.saidLeaving[life] {
		return
	}
	if c.saidLeaving == nil {
		c.saidLeaving = map[fleet.Life]bool{}
	}
	maps.DeleteFunc(c.saidLeaving, func(known fleet.Life, _ bool) bool {
		t := c.view.Targets[known.ID]
		return t == nil || t.Life != known
	})
	c.saidLeaving[life] = true
	if c.lead != nil && !t.Leaving {
		// The next tick publishes it, with what others say until then: a whole failure domain
		// may leave at once.
		c.lead.declarationsChanged = true
		c.lead.planAt = time.Time{}
	}
}

// markLeaving marks those of the targets that have said that they are leaving. The map is the
// caller's own.
func (c *Coordinator) markLeaving(targets map[string]*fleet.Target) map[string]*fleet.Target {
	for life := range c.saidLeaving {
		if t := targets[life.ID]; t != nil && t.Life == life && !t.Leaving {
			leaving := *t
			leaving.Leaving = true
			targets[life.ID] = &leaving
		}
	}
	return targets
}
