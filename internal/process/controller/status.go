package controller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/placement"
)

// StatusPrefix is the prefix of the coarse status objects of cells.
const StatusPrefix = "status/"

// statusInterval is the interval between writes of a cell's status. With 200
// cells this makes 7 writes a second.
const statusInterval = 30 * time.Second

// Status is the value of a status object, for operators.
type Status struct {
	Cell       string `json:"cell"`
	Controller string `json:"controller"`
	Version    int64  `json:"version"`
	Targets    int    `json:"targets"`
	Slices     int    `json:"slices"`
	HotKeys    int    `json:"hotKeys"`
	// Moving is the number of planned moves under way.
	Moving int `json:"moving"`
	// Imbalance is the highest load per capacity of a target over the mean.
	Imbalance float64 `json:"imbalance"`
	// Busy is the mean number of occupied slots, summed over the targets.
	Busy float64 `json:"busy"`
}

// statusWriter writes the status of a cell at a low rate.
type statusWriter struct {
	next    time.Time
	version int64
	busy    bool
}

// writeStatus writes the cell's status when it is due.
func (c *cell) writeStatus(now time.Time) {
	w := &c.status
	if w.busy || now.Before(w.next) {
		return
	}
	w.busy, w.next = true, now.Add(statusInterval)
	status := c.currentStatus()
	c.owner.config.Metrics.Tagged(map[string]string{"cell": c.id}).Gauge("imbalance").Update(status.Imbalance)
	expected, name := w.version, StatusPrefix+c.id
	c.owner.call(func(ctx context.Context) func() {
		version, err := putStatus(ctx, c.owner.config.Store, name, status, expected)
		return func() {
			w.busy = false
			if err == nil {
				w.version = version
			}
		}
	})
}

// putStatus writes a status whatever the present version is: the last writer wins.
func putStatus(ctx context.Context, s store.Store, name string, status Status, expected int64) (int64, error) {
	value, err := json.Marshal(status)
	if err != nil {
		return 0, err
	}
	version, err := s.Put(ctx, name, value, expected)
	if !fault.Is(err, fault.Conflict) {
		return version, err
	}
	found, err := s.Get(ctx, name)
	if fault.Is(err, fault.NotFound) {
		found.Version = store.Absent
	} else if err != nil {
		return 0, err
	}
	return s.Put(ctx, name, value, found.Version)
}

func (c *cell) currentStatus() Status {
	status := Status{Cell: c.id, Controller: c.owner.config.Self.VM, Version: c.version,
		Targets: len(c.record.Targets), Slices: len(c.record.Slices), HotKeys: len(c.record.HotKeys)}
	for _, slices := range [][]assignment.Slice{c.record.Slices, c.record.HotKeys} {
		for i := range slices {
			if slices[i].Moving {
				status.Moving++
			}
		}
	}
	for i := range c.record.Targets {
		if report := c.reports.targets[c.record.Targets[i].Target]; report != nil && !report.lost {
			status.Busy += report.busy
		}
	}
	if snapshot := c.owner.snapshot(); snapshot != nil {
		status.Imbalance = placement.Imbalance(c.record, c.targets(snapshot), c.reports.loads)
	}
	return status
}
