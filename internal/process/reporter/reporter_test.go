package reporter

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/controller"
	"github.com/chestnutcourse/chestnutcourse/internal/process/loop"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/seed"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
	"gotest.tools/v3/assert"
)

// fixture is a reporter with its time, its inputs and the VMs that it reaches.
type fixture struct {
	t        *testing.T
	reporter *Reporter
	loop     *loop.Loop
	now      time.Time
	snapshot *routing.Snapshot
	loads    []*peerv1.TargetLoad
	progress []Progress

	mu sync.Mutex
	// holder is the VM that acknowledges as the controller; down are unreachable.
	holder string
	down   map[string]bool
	got    []delivery
	// ahead is what the receiver of a report says of it.
	ahead bool
}

// delivery is a report with the VM that it reached.
type delivery struct {
	to     string
	report *peerv1.LoadReport
}

func newFixture(t *testing.T) *fixture {
	m := &manifest.Manifest{FailureDomains: []manifest.FailureDomain{{Name: "d", Region: "r"}},
		Services: []manifest.Service{{Name: "s"}}, Targets: []manifest.Target{{Name: "t", Service: "s", FailureDomain: "d"}}}
	vms := map[string]routing.VM{}
	for i := range 5 {
		name := fmt.Sprint("vm-", i)
		vms[name] = routing.VM{Name: name, Region: "r"}
	}
	f := &fixture{t: t, loop: loop.New(), now: time.Unix(1000, 0), down: map[string]bool{},
		snapshot: routing.New(m, 1, nil, vms), loads: []*peerv1.TargetLoad{load(10, 10)}}
	f.reporter = New(Config{Self: assignment.Holder{VM: "self", Incarnation: "1"}, Region: "r", Loop: f.loop, Sender: f,
		Snapshot: func() *routing.Snapshot { return f.snapshot }, Loads: func() []*peerv1.TargetLoad { return f.loads }, Ownership: f})
	f.reporter.now = func() time.Time { return f.now }
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.loop.Run(ctx)
	f.holder = controller.Candidates("s/0", "r", f.snapshot)[0]
	return f
}

// load returns the load of the target with two slices.
func load(first, second float32) *peerv1.TargetLoad {
	return &peerv1.TargetLoad{Target: "t", Epoch: 1, Alive: true, Speed: 1, RequestsPerSecond: first + second, Slices: []*peerv1.SliceLoad{
		{Slice: &peerv1.SliceRef{Cell: "s/0", First: 0, Last: 9}, Fence: 1, RequestsPerSecond: first},
		{Slice: &peerv1.SliceRef{Cell: "s/0", First: 10, Last: 19}, Fence: 1, RequestsPerSecond: second},
	}}
}

func (f *fixture) Progress() []Progress { return f.progress }

func (f *fixture) Silent() []string { return nil }

func (f *fixture) Send(string, *peerv1.Control) {}

func (f *fixture) Call(_ context.Context, vm string, message *peerv1.Control) (*peerv1.Control, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[vm] {
		return nil, fmt.Errorf("%s is down", vm)
	}
	f.got = append(f.got, delivery{vm, message.GetLoadReport()})
	return &peerv1.Control{Kind: &peerv1.Control_LoadReportAck{LoadReportAck: &peerv1.LoadReportAck{LeaseHolder: f.holder, Ahead: f.ahead}}}, nil
}

// tick lets time pass and returns what reached whom.
func (f *fixture) tick(elapsed time.Duration) []delivery {
	f.t.Helper()
	f.mu.Lock()
	f.got = nil
	f.mu.Unlock()
	f.loop.Call(func() {
		f.now = f.now.Add(elapsed)
		f.reporter.Report()
	})
	f.settle()
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]delivery(nil), f.got...)
}

// settle waits until the acknowledgement has been followed.
func (f *fixture) settle() {
	for busy := true; busy; {
		f.loop.Call(func() { busy = f.reporter.cells["s/0"] != nil && f.reporter.cells["s/0"].busy })
	}
}

func TestOnlyNoticeableChangesAreReported(t *testing.T) {
	f := newFixture(t)
	first := f.tick(tickInterval)
	assert.Equal(t, len(first), 1)
	assert.Assert(t, first[0].report.Full && len(first[0].report.Targets[0].Slices) == 2)
	f.loads = []*peerv1.TargetLoad{load(10.5, 10)}
	assert.Equal(t, len(f.tick(2*changeInterval)), 0, "five percent are not noticeable")
	f.loads = []*peerv1.TargetLoad{load(20, 10)}
	changed := f.tick(changeInterval)
	assert.Equal(t, len(changed), 1)
	assert.Equal(t, len(changed[0].report.Targets[0].Slices), 1, "only the slice that changed")
	assert.Equal(t, len(f.tick(changeInterval)), 0, "it was acknowledged")
	sign := f.tick(lifeInterval)
	assert.Equal(t, len(sign), 1, "a sign of life")
	assert.Equal(t, len(sign[0].report.Targets), 0)
	assert.Assert(t, f.tick(fullInterval)[0].report.Full)
}

// TestTheSumOfSmallLoadsIsKnown reports slices whose rates vary by less than
// what is noticeable in one of them. The receiver has to know the target's load
// closer than the tenth from which placement relieves it.
func TestTheSumOfSmallLoadsIsKnown(t *testing.T) {
	const count, mean = 40, 0.6
	f, random := newFixture(t), seed.Rand(1)
	rates, known := make([]float64, count), map[uint64]float64{}
	f.loads = []*peerv1.TargetLoad{small(rates)}
	listed, worst := 0, 0.0
	for second := range 120 {
		for _, d := range f.tick(changeInterval) {
			for _, target := range d.report.Targets {
				for _, s := range target.Slices {
					known[s.Slice.First] = float64(s.RequestsPerSecond)
					listed++
				}
			}
		}
		reported, actual := 0.0, 0.0
		for i, rate := range rates {
			reported += known[uint64(i)]
			actual += rate
		}
		if second > 0 {
			worst = max(worst, math.Abs(reported-actual)/actual)
		}
		for i := range rates {
			rates[i] = mean * (0.5 + random.Float64())
		}
		f.loads = []*peerv1.TargetLoad{small(rates)}
	}
	assert.Assert(t, worst < 0.1, "the receiver's sum is off by %.0f%%", 100*worst)
	assert.Assert(t, listed < count*120/4, "%d of %d loads were sent", listed, count*120)
}

// small returns the load of the target with a slice for each rate.
func small(rates []float64) *peerv1.TargetLoad {
	load := &peerv1.TargetLoad{Target: "t", Epoch: 1, Alive: true, Speed: 1}
	for i, rate := range rates {
		load.Slices = append(load.Slices, &peerv1.SliceLoad{
			Slice: &peerv1.SliceRef{Cell: "s/0", First: uint64(i), Last: uint64(i)}, Fence: 1, RequestsPerSecond: float32(rate)})
	}
	return load
}

func TestProgressIsRepeatedUntilItIsGone(t *testing.T) {
	f := newFixture(t)
	f.tick(tickInterval)
	f.progress = []Progress{{Cell: "s/0", Accepted: []*peerv1.Release{{Owner: "a", Next: "t", NextFence: 2}}}}
	sent := f.tick(tickInterval)
	assert.Equal(t, len(sent), 1, "progress does not wait for the interval")
	assert.Equal(t, sent[0].report.Accepted[0].NextFence, uint64(2))
	assert.Equal(t, len(f.tick(tickInterval)), 0)
	assert.Equal(t, len(f.tick(changeInterval)), 1, "it is repeated")
	f.progress = nil
	assert.Equal(t, len(f.tick(changeInterval)), 0)
}

// TestAReportThatCameTooEarlyIsRepeated: the holder did not know the epoch yet, and
// nothing has changed since.
func TestAReportThatCameTooEarlyIsRepeated(t *testing.T) {
	f := newFixture(t)
	f.ahead = true
	assert.Equal(t, len(f.tick(changeInterval)), 1)
	again := f.tick(changeInterval)
	assert.Assert(t, len(again) == 1 && again[0].report.Full && len(again[0].report.Targets) == 1, "%v", again)
	f.ahead = false
	assert.Equal(t, len(f.tick(changeInterval)), 1)
	assert.Equal(t, len(f.tick(changeInterval)), 0, "what was taken in is not repeated")
}

func TestTheHolderIsFoundAndFollowed(t *testing.T) {
	f := newFixture(t)
	candidates := controller.Candidates("s/0", "r", f.snapshot)
	f.holder = candidates[2]
	assert.Equal(t, f.tick(tickInterval)[0].to, candidates[0])
	second := f.tick(tickInterval)
	assert.Equal(t, second[0].to, candidates[2], "the acknowledgement names the holder")
	assert.Assert(t, second[0].report.Full, "a new holder gets everything")
	f.down[candidates[2]] = true
	f.holder = candidates[1]
	reached := false
	for range 6 {
		for _, d := range f.tick(lifeInterval) {
			reached = reached || d.to == candidates[1]
		}
	}
	assert.Assert(t, reached, "the next candidates are asked when the holder is down")
}
