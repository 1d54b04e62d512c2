package membership

import (
	"context"
	"maps"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/distribution"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

const (
	// sweepInterval is the interval between looks for registrations of VMs that
	// are gone.
	sweepInterval = 10 * time.Second
	// goneAfter is how long a VM must be absent from the platform's list and
	// silent before its registration is removed.
	goneAfter = time.Minute
	// judgedPerSweep bounds the VMs that one sweep asks for a sign of life.
	judgedPerSweep = 16
)

// sweep removes registrations that VMs left behind when they were lost. The
// first live VM of each failure domain does so; conditional deletes make it
// harmless that several do.
type sweep struct {
	last time.Time
	// absent is since when a VM has been absent from the platform's list and silent.
	absent map[string]time.Time
}

func newSweep() sweep { return sweep{absent: map[string]time.Time{}} }

// sweepGone runs on the loop.
func (m *Membership) sweepGone(ctx context.Context) {
	now := time.Now()
	if now.Sub(m.sweep.last) < sweepInterval || !m.config.View.IsFirst() {
		return
	}
	m.sweep.last = now
	platform, registered := m.config.View.PlatformVMs(), m.config.View.VMs()
	if len(platform) == 0 {
		return
	}
	maps.DeleteFunc(m.sweep.absent, func(vm string, _ time.Time) bool {
		_, ok := registered[vm]
		return !ok || platform[vm] != distribution.PlatformGone
	})
	judged := 0
	for vm := range registered {
		if platform[vm] == distribution.PlatformGone && vm != m.config.Self.Name && judged < judgedPerSweep {
			judged++
			m.judgeAbsent(ctx, vm, now)
		}
	}
}

// judgeAbsent removes the registration of a VM that has been gone for long
// enough, and asks it for a sign of life otherwise.
func (m *Membership) judgeAbsent(ctx context.Context, vm string, now time.Time) {
	m.ping(ctx, vm)
	if !m.config.View.IsSilent(vm) {
		delete(m.sweep.absent, vm)
		return
	}
	since, known := m.sweep.absent[vm]
	if !known {
		m.sweep.absent[vm] = now
		return
	}
	record, ok := m.config.View.Object(routing.VMPrefix + vm)
	if now.Sub(since) < goneAfter || !ok || record.Deleted {
		return
	}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if m.config.Store.Delete(callCtx, record.Name, record.Version) == nil {
			events.VMRemoved.Log(m.config.Logger).Str("vm", vm).Send()
		}
	}()
}
