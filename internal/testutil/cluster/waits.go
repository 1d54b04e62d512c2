package cluster

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	// waitSample is the interval at which the waits of a process are read.
	waitSample = 500 * time.Millisecond
	// waitsShown is the number of intervals that a failed test shows.
	waitsShown = 5
)

// wait is the longest time, within an interval, for which one thread of a process could
// have run and got no processor. It is added up when the thread runs again, so that it
// may exceed the interval.
type wait struct {
	until   time.Time
	longest time.Duration
	// late is by how much the interval was too long: the test itself did not run.
	late time.Duration
}

func (w wait) String() string {
	return fmt.Sprintf("%s: %s, the test itself %s", w.until.UTC().Format("15:04:05.000"),
		w.longest.Round(time.Millisecond), w.late.Round(time.Millisecond))
}

// watchWaits reads the waits of a process, where the system tells them, until the
// returned function is called. That returns the worst intervals.
func watchWaits(p *Process) func() []wait {
	stop, worst := make(chan struct{}), make(chan []wait)
	go func() {
		var found []wait
		before := map[string]time.Duration{}
		ticker := time.NewTicker(waitSample)
		defer ticker.Stop()
		for last := time.Now(); ; {
			select {
			case <-stop:
				worst <- found
				return
			case <-ticker.C:
			}
			now := time.Now()
			waited := waitsOf(p.Pid())
			w := wait{until: now, late: max(now.Sub(last)-waitSample, 0)}
			for thread, total := range waited {
				w.longest = max(w.longest, total-before[thread])
			}
			last, before = now, waited
			found = append(found, w)
			slices.SortFunc(found, func(a, b wait) int { return cmp.Compare(b.longest+b.late, a.longest+a.late) })
			found = found[:min(len(found), waitsShown)]
		}
	}()
	return func() []wait { close(stop); return <-worst }
}

// waitsOf returns for how long each thread of a process has waited for a processor.
func waitsOf(pid int) map[string]time.Duration {
	waited := map[string]time.Duration{}
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		var ran, wait int64
		if _, err := fmt.Fscan(strings.NewReader(string(content)), &ran, &wait); err == nil {
			waited[file] = time.Duration(wait)
		}
	}
	return waited
}
