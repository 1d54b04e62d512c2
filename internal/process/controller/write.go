package controller

import (
	"context"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/placement"
	"github.com/google/uuid"
)

// writeResult is the outcome of writing a record.
type writeResult struct {
	// version is the version of the write, if it took effect.
	version int64
	// other is the record of somebody else that was found instead.
	other        *assignment.Cell
	otherVersion int64
	err          error
	// readBack is set if the outcome was learnt by reading back.
	readBack bool
}

// write writes the result of a round if the record is still at the version that
// it was planned from. done runs after a write that took effect.
func (c *cell) write(result placement.RoundResult, done func()) {
	c.writing = true
	next := result.Cell
	next.OperationID = uuid.NewString()
	expected := c.version
	c.owner.config.Metrics.Counter("writes").Inc(1)
	c.owner.call(func(ctx context.Context) func() {
		outcome := c.put(ctx, next, expected)
		return func() {
			c.writing = false
			c.written(result, outcome, done)
		}
	})
}

// put writes a record and resolves an unknown outcome by reading back.
func (c *cell) put(ctx context.Context, next *assignment.Cell, expected int64) writeResult {
	value, err := next.Encode()
	if err != nil {
		return writeResult{err: err}
	}
	version, err := c.owner.config.Store.Put(ctx, assignment.ObjectName(c.id), value, expected)
	if err == nil {
		return writeResult{version: version}
	}
	if !fault.Is(err, fault.UnknownOutcome) && !fault.Is(err, fault.Conflict) {
		return writeResult{err: err}
	}
	found, foundVersion, readErr := readCell(ctx, c.owner.config.Store, c.id)
	switch {
	case readErr != nil:
		// The record stays unknown: the next round reads it first.
		return writeResult{err: fault.Wrap(readErr, fault.UnknownOutcome, "read the record again", "the outcome of a write of cell %s is unknown", c.id)}
	case found != nil && found.OperationID == next.OperationID:
		return writeResult{version: foundVersion, readBack: true}
	}
	return writeResult{err: err, other: found, otherVersion: foundVersion, readBack: true}
}

// written follows the outcome of a write.
func (c *cell) written(result placement.RoundResult, outcome writeResult, done func()) {
	logger := &c.owner.config.Logger
	switch {
	case outcome.err == nil:
		if outcome.readBack {
			events.AssignmentUnknown.Log(logger).Str("cell", c.id).Bool("effective", true).Int64("version", outcome.version).Send()
		}
		c.adopt(result.Cell, outcome.version)
		c.logDecisions(result)
		done()
	case outcome.readBack:
		events.AssignmentConflict.Log(logger).Str("cell", c.id).Int64("planned-from", c.version).Int64("found", outcome.otherVersion).Send()
		c.owner.config.Metrics.Counter("conflicts").Inc(1)
		if outcome.other != nil {
			c.adopt(outcome.other, outcome.otherVersion)
		}
		c.planSoon()
	case fault.Is(outcome.err, fault.UnknownOutcome):
		events.AssignmentUnknown.Log(logger).Str("cell", c.id).Bool("effective", false).Err(outcome.err).Send()
		c.loaded = false
	default:
		events.AssignmentUnavailable.Log(logger).Str("cell", c.id).Err(outcome.err).Send()
	}
}

// logDecisions writes one line for the version and one for each decision.
func (c *cell) logDecisions(result placement.RoundResult) {
	now := c.owner.now()
	logger := &c.owner.config.Logger
	events.AssignmentWritten.Log(logger).Str("cell", c.id).Int64("version", c.version).Int("decisions", len(result.Decisions)).Send()
	for _, d := range result.Decisions {
		line := events.PlacementDecided.Log(logger).Str("cell", c.id).Int64("version", c.version).
			Str("kind", string(d.Kind)).Str("from", d.From).Str("to", d.To).Str("reason", d.Reason)
		if d.Target != "" {
			line = line.Str("target", d.Target)
		} else {
			line = line.Str("slice", sliceName(d.Slice)).Float64("load", d.Load)
		}
		line.Send()
		c.owner.config.Metrics.Tagged(map[string]string{"kind": string(d.Kind)}).Counter("decisions").Inc(1)
		if d.Kind == placement.DecideAccept {
			c.moved[d.Slice] = now
		}
	}
}
