package coordinator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/seed"
)

// storeCallsWithin returns the numbers of calls to the store within a time from now: those per
// second on average, and the most within a second and within 100 ms.
func (w *world) storeCallsWithin(during time.Duration) (average, inASecond, inATenth int) {
	w.withLock(func() { w.storeCalls = nil })
	time.Sleep(during)
	w.mu.Lock()
	calls := w.storeCalls
	w.mu.Unlock()
	busiest := func(window time.Duration) (most int) {
		for i, at := range calls {
			first, _ := slices.BinarySearchFunc(calls, at.Add(-window), time.Time.Compare)
			most = max(most, i-first+1)
		}
		return most
	}
	return int(float64(len(calls)) / during.Seconds()), busiest(time.Second), busiest(100 * time.Millisecond)
}

// TestStoreCallsOfALargeFleet: 300 VMs stay within what the store answers per second for all
// of them together, 2,000, in an outage, after it and without a leader. While nothing fails,
// only the leader calls the store.
func TestStoreCallsOfALargeFleet(t *testing.T) {
	const vms, rate = 300, 2000
	for _, silentFor := range []time.Duration{0, time.Second} {
		t.Run(fmt.Sprint(silentFor), func(t *testing.T) {
			run(t, seed.Value, vms, 20, func(w *world) {
				w.storeSilentFor = silentFor
				w.servedWithin(5 * time.Second)
				time.Sleep(5 * time.Second)
				count := func(phase string, during time.Duration, most int) {
					average, inASecond, inATenth := w.storeCallsWithin(during)
					t.Logf("%s: %d calls/s, at most %d in 1 s and %d in 0.1 s", phase, average, inASecond, inATenth)
					w.check(inASecond <= most, "%s: %d calls in a second, at most %d allowed", phase, inASecond, most)
				}
				// Three polls each 0.5 s, and a write of the record each 0.6 s.
				count("calm", 10*time.Second, 9)
				w.withLock(func() { w.outage = true })
				count("outage, first 5 s", 5*time.Second, rate)
				count("outage, then", 10*time.Second, rate)
				w.withLock(func() { w.outage = false })
				count("return of the store", 5*time.Second, rate)
				count("calm again", 5*time.Second, 9)
				leader, _ := w.leader()
				w.cutFor(6*time.Second, leader+">store")
				count("leader cut off from the store", 5*time.Second, rate)
				time.Sleep(5 * time.Second)
				w.killLeader()
				count("leader killed", 5*time.Second, rate)
				time.Sleep(5 * time.Second)
				w.killLeader()
				time.AfterFunc(900*time.Millisecond, w.killLeader)
				count("two leaders killed", 5*time.Second, rate)
			})
		})
	}
}
