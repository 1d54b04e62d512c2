package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkLedger measures the cost of one request in the ledger of 100 VMs, at the limit of
// its team.
func BenchmarkLedger(b *testing.B) {
	now := time.Unix(1e9, 0)
	vms := make([]string, 100)
	for i := range vms {
		vms[i] = fmt.Sprintf("vm%d", i)
	}
	l := NewLedger[int](Rule{Window: 5 * time.Second, Over: 0.1, Slack: 20}, State{}, vms, now)
	for _, vm := range vms {
		l.Report(vm, nil, now)
	}
	for i := range b.N {
		now = now.Add(400 * time.Microsecond)
		if i%50 == 0 {
			l.Report(vms[i/50%100], nil, now)
		}
		if _, ok := l.Ask(i, vms[i%100], "team", Limit{Rate: 1000, Burst: 1000}, 0, now); ok {
			l.Decided(i, true, now)
			l.End(i, true, time.Millisecond, now)
		}
	}
}
