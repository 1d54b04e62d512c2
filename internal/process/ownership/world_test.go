package ownership

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/placement"
	"github.com/chestnutcourse/chestnutcourse/internal/version/rights"
	"google.golang.org/protobuf/proto"
)

// world is a small deployment on simulated time: nodes that run the machine,
// targets, a record with controllers, and a network. Everything random comes
// from one source, so a seed determines a run.
type world struct {
	rng      *rand.Rand
	now      time.Duration
	queue    eventQueue
	sequence int

	nodes   []*node
	targets []*simTarget
	record  simRecord
	info    map[string]targetInfo
	keys    []sampleKey

	lossPercent, duplicatePercent int
	maxDelay                      time.Duration
	cut                           map[[2]string]bool
	storeDown                     bool

	executed   map[string]uint64
	servedAt   map[string]time.Duration
	decisions  map[decisionKind]int
	steps      int
	violations []string
	log        []string
}

type sampleKey struct {
	key  string
	hash uint64
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// options choose the shape of a world.
type options struct {
	nodes, targets  int
	unchecked, hold bool
	off             mechanisms
	// quiet turns off loss, duplication and delay of messages.
	quiet bool
}

const simCell = "s/0"

func newWorld(seed uint64, o options) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), now: 10 * time.Second, cut: map[[2]string]bool{},
		executed: map[string]uint64{}, servedAt: map[string]time.Duration{}, decisions: map[decisionKind]int{},
		info: map[string]targetInfo{}, lossPercent: 1, duplicatePercent: 2, maxDelay: 15 * time.Millisecond,
	}
	if o.quiet {
		w.lossPercent, w.duplicatePercent, w.maxDelay = 0, 0, 2*time.Millisecond
	}
	for i := range o.nodes {
		w.nodes = append(w.nodes, w.newNode(fmt.Sprintf("vm%d", i), o.off))
	}
	for i := range o.targets {
		name := fmt.Sprintf("t%d", i)
		w.targets = append(w.targets, &simTarget{world: w, name: name, up: true, number: 1, incarnation: name + "#1", hold: o.hold, unchecked: o.unchecked})
		w.info[name] = targetInfo{address: name, cell: simCell, unchecked: o.unchecked, hold: o.hold}
	}
	w.record.init(w)
	w.every(w.record.interval, w.record.control)
	w.every(w.record.interval+37*time.Millisecond, w.record.control)
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

func (w *world) at(delay time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, &event{w.now + delay, w.sequence, run})
}

func (w *world) every(interval time.Duration, run func()) {
	w.at(interval, func() { run(); w.every(interval, run) })
}

// runFor advances the simulated time, checking the invariants after each event.
func (w *world) runFor(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end && len(w.violations) == 0 {
		next := heap.Pop(&w.queue).(*event)
		w.now = next.at
		next.run()
		w.steps++
		w.check()
	}
	w.now = max(w.now, end)
}

func (w *world) delay() time.Duration {
	return time.Duration(w.rng.Int64N(int64(w.maxDelay))) + 100*time.Microsecond
}

func (w *world) chance(percent int) bool { return w.rng.IntN(100) < percent }

func (w *world) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, args...))
	if len(w.log) > 400 {
		w.log = w.log[1:]
	}
}

func (w *world) node(name string) *node {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })]
}

func (w *world) target(name string) *simTarget {
	return w.targets[slices.IndexFunc(w.targets, func(t *simTarget) bool { return t.name == name })]
}

// check looks for broken invariants in the present state.
func (w *world) check() {
	for _, k := range w.keys {
		var holder string
		for _, t := range w.targets {
			if !t.holds(k) {
				continue
			}
			if holder != "" {
				w.violate("targets %s and %s both hold a grant for %s", holder, t.name, k.key)
			}
			holder = t.name
		}
	}
	for _, t := range w.targets {
		var holder string
		for _, n := range w.nodes {
			if !n.up || !n.leaseValid(t.name) {
				continue
			}
			if holder != "" {
				w.violate("VMs %s and %s both have a valid lease for %s", holder, n.name, t.name)
			}
			holder = n.name
		}
	}
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// unserved lists the sample keys that no request can be executed for now.
func (w *world) unserved() []string {
	var missing []string
	for _, k := range w.keys {
		if !slices.ContainsFunc(w.nodes, func(n *node) bool { return n.serves(k) }) {
			missing = append(missing, k.key)
		}
	}
	return missing
}

// node is a VM in the world. It implements output and traffic.
type node struct {
	world      *world
	name       string
	number     int
	off        mechanisms
	machine    *machine
	up, paused bool
	offset     time.Duration
	rate       float64
	table      *rights.Table
	inFlightOf map[*flight]bool
	backlog    []func()
	generation int
	// adoptsNothing keeps the node's record as it is.
	adoptsNothing bool
	adoptedUpTo   int64
}

// flight is a request under way to a target.
type flight struct {
	target string
	key    sampleKey
}

func (w *world) newNode(name string, off mechanisms) *node {
	return &node{world: w, name: name, off: off, offset: time.Duration(w.rng.Int64N(int64(time.Hour))), rate: 0.96 + 0.08*w.rng.Float64()}
}

// clock is the node's own monotonic clock.
func (n *node) clock() time.Duration {
	return n.offset + time.Duration(float64(n.world.now)*n.rate)
}

func (n *node) self() assignment.Holder {
	return assignment.Holder{VM: n.name, Incarnation: fmt.Sprintf("%s#%d", n.name, n.number)}
}

func (n *node) start() {
	n.number++
	n.generation++
	n.up, n.paused, n.backlog, n.adoptedUpTo = true, false, nil, 0
	n.table = &rights.Table{}
	n.inFlightOf = map[*flight]bool{}
	n.machine = newMachine(n.self(), n, n)
	n.machine.off = n.off
	n.loop(20*time.Millisecond, func() { n.machine.tick(n.clock()) })
	n.loop(60*time.Millisecond, n.pull)
	n.loop(25*time.Millisecond, n.sendRequest)
}

func (n *node) kill() {
	n.up, n.paused, n.backlog = false, false, nil
	n.generation++
}

// loop runs f at intervals while the node is up and not paused.
func (n *node) loop(interval time.Duration, f func()) {
	generation := n.generation
	var step func()
	step = func() {
		if n.generation != generation {
			return
		}
		if !n.paused {
			f()
		}
		n.world.at(interval, step)
	}
	n.world.at(time.Duration(n.world.rng.Int64N(int64(interval))), step)
}

// deliver runs f on the node, later if it is paused, never if it was killed or restarted.
func (n *node) deliver(generation int, f func()) {
	switch {
	case n.generation != generation || !n.up:
	case n.paused:
		n.backlog = append(n.backlog, f)
	default:
		f()
	}
}

// pull adopts the record some time after it was written.
func (n *node) pull() {
	if n.world.chance(60) || n.adoptsNothing {
		return
	}
	r := &n.world.record
	if n.world.storeDown && n.adoptedUpTo > 0 {
		return
	}
	n.adoptedUpTo = r.version
	n.machine.adopt(n.clock(), map[string]cellVersion{simCell: {r.version, r.cell}}, n.world.info)
}

func (n *node) send(vm string, message *peerv1.Control) {
	w := n.world
	to := w.node(vm)
	copies := 1
	if w.chance(w.duplicatePercent) {
		copies = 2
	}
	for range copies {
		if w.cut[[2]string{n.name, vm}] || w.chance(w.lossPercent) {
			continue
		}
		from, generation := n.self(), to.generation
		message := proto.Clone(message).(*peerv1.Control)
		w.at(w.delay(), func() {
			to.deliver(generation, func() { to.handle(from, message) })
		})
	}
}

func (n *node) handle(from assignment.Holder, message *peerv1.Control) {
	reply, _ := n.machine.receive(n.clock(), from, message)
	if reply != nil {
		n.send(from.VM, reply)
	}
}

func (n *node) callTarget(call targetCall) {
	w := n.world
	t := w.target(call.target)
	generation := n.generation
	done := false
	finish := func(result callResult) {
		result.id, result.target = call.id, call.target
		n.deliver(generation, func() {
			if !done {
				done = true
				n.machine.targetAnswered(n.clock(), result)
			}
		})
	}
	notAfter := w.now + time.Duration(call.grant.DurationMillis)*time.Millisecond
	w.at(w.delay(), func() {
		if w.cut[[2]string{n.name, call.target}] {
			return
		}
		if !t.up {
			finish(callResult{failure: callRefused})
			return
		}
		t.deliver(func() {
			result := t.serve(call, notAfter)
			w.at(w.delay(), func() {
				if !w.cut[[2]string{call.target, n.name}] {
					finish(result)
				}
			})
		})
	})
	w.at(call.timeout, func() { finish(callResult{failure: callUnanswered}) })
}

func (n *node) publish(table *rights.Table) { n.table = table }

func (n *node) startWith(string, int, int) {}

func (n *node) targetChanged(string, bool, string) {}

func (n *node) decide(d decision) {
	n.world.decisions[d.kind]++
	n.world.logf("%s %s %s@%d next=%d vm=%s slice=%v fence=%d next=%s/%d set=%d %s", n.self().Incarnation, eventOf[d.kind].Name, d.target, d.epoch, d.nextEpoch, d.vm, d.slice, d.fence, d.next, d.nextFence, d.setNumber, d.reason)
}

func (n *node) inFlight(target string, slice *assignment.Slice) int {
	count := 0
	for f := range n.inFlightOf {
		if f.target == target && (slice == nil || slice.Contains(f.key.key, f.key.hash)) {
			count++
		}
	}
	return count
}

func (n *node) coldLimit(string) int { return 2 }

func (n *node) leaseValid(target string) bool {
	held := n.table.Targets[target]
	return held != nil && held.Lease.Remaining(n.clock()) > 0
}

// find returns the right under which the node may send a key, or nil.
func (n *node) find(k sampleKey) (*rights.Target, *rights.Held) {
	for _, name := range sortedKeys(n.table.Targets) {
		t := n.table.Targets[name]
		if !n.leaseValid(name) {
			continue
		}
		if held := t.Find(k.key, k.hash); held != nil && !held.Paused {
			return t, held
		}
	}
	return nil, nil
}

// serves reports whether a request for the key would be executed now.
func (n *node) serves(k sampleKey) bool {
	if !n.up || n.paused {
		return false
	}
	t, held := n.find(k)
	return t != nil && n.world.target(t.Name).accepts(k, held.Fence)
}

// sendRequest sends one request under the rights that the traffic side reads.
func (n *node) sendRequest() {
	w := n.world
	k := w.keys[w.rng.IntN(len(w.keys))]
	t, held := n.find(k)
	if t == nil {
		return
	}
	f := &flight{t.Name, k}
	n.inFlightOf[f] = true
	fence, generation := held.Fence, n.generation
	latestStart := w.now + min(300*time.Millisecond, t.Lease.Remaining(n.clock()))
	end := func() {
		n.deliver(generation, func() { delete(n.inFlightOf, f) })
	}
	w.at(w.delay(), func() {
		if w.cut[[2]string{n.name, t.Name}] {
			return
		}
		simulated := w.target(t.Name)
		simulated.deliver(func() {
			if w.now <= latestStart {
				simulated.execute(k, fence)
			}
			w.at(w.delay(), end)
		})
	})
	w.at(300*time.Millisecond, end)
}

// simTarget is a target that follows docs/TARGETS.md.
type simTarget struct {
	world           *world
	name            string
	up, frozen      bool
	number          int
	incarnation     string
	hold, unchecked bool
	backlog         []func()

	epoch, setNumber uint64
	slices           []target.GrantedSlice
	end              time.Duration
}

func (t *simTarget) kill() { t.up, t.backlog, t.slices = false, nil, nil }

func (t *simTarget) thaw() {
	t.frozen = false
	backlog := t.backlog
	t.backlog = nil
	for _, f := range backlog {
		f()
	}
}

func (t *simTarget) deliver(f func()) {
	switch {
	case !t.up:
	case t.frozen:
		t.backlog = append(t.backlog, f)
	default:
		f()
	}
}

func (t *simTarget) serve(call targetCall, notAfter time.Duration) callResult {
	result := callResult{incarnation: t.incarnation}
	result.reply.Incarnation = t.incarnation
	switch call.kind {
	case callGrant:
		t.grant(call.grant, notAfter, &result.reply)
	case callRevoke:
		if call.revocation.Epoch >= t.epoch {
			t.slices = slices.DeleteFunc(t.slices, func(s target.GrantedSlice) bool { return slices.Contains(call.revocation.Slices, s) })
		}
	}
	return result
}

func (t *simTarget) grant(g target.Grant, notAfter time.Duration, reply *target.GrantReply) {
	w := t.world
	switch {
	case g.Epoch < t.epoch && !t.unchecked:
		reply.Refused, reply.HighestEpoch = true, t.epoch
		return
	case w.now > notAfter:
		reply.NeedSet = true
		return
	case g.Epoch != t.epoch:
		t.epoch, t.setNumber, t.slices = g.Epoch, 0, nil
	case !t.hold && w.now >= t.end:
		t.slices = nil
		if g.Slices == nil {
			reply.NeedSet = true
			return
		}
	}
	if g.SetNumber < t.setNumber || g.Slices == nil && g.SetNumber != t.setNumber {
		reply.NeedSet = true
		return
	}
	if g.Slices != nil {
		t.slices, t.setNumber = slices.Clone(g.Slices), g.SetNumber
	}
	t.end = min(w.now+time.Duration(g.DurationMillis)*time.Millisecond, notAfter)
}

func (t *simTarget) granted(k sampleKey) *target.GrantedSlice {
	if !t.up || !t.hold && t.world.now >= t.end {
		return nil
	}
	for i := range t.slices {
		s := &t.slices[i]
		if s.Key == k.key || s.Key == "" && s.First <= k.hash && k.hash <= s.Last {
			return s
		}
	}
	return nil
}

func (t *simTarget) holds(k sampleKey) bool { return t.granted(k) != nil }

func (t *simTarget) accepts(k sampleKey, fence uint64) bool {
	if !t.up || t.frozen {
		return false
	}
	granted := t.granted(k)
	return t.unchecked || granted != nil && granted.Fence == fence
}

// execute runs a request, if the target accepts it, and checks the fences.
func (t *simTarget) execute(k sampleKey, fence uint64) {
	if !t.accepts(k, fence) {
		return
	}
	w := t.world
	if fence < w.executed[k.key] {
		w.violate("%s executed %s at fence %d after fence %d", t.name, k.key, fence, w.executed[k.key])
	}
	w.executed[k.key] = fence
	w.servedAt[k.key] = w.now
}

// simRecord is the store with its controllers.
type simRecord struct {
	world     *world
	version   int64
	cell      *assignment.Cell
	interval  time.Duration
	nextFence uint64
	movePause int
	goneSince map[string]time.Duration
	heldAt    map[string]time.Duration
}

func (r *simRecord) init(w *world) {
	*r = simRecord{world: w, version: 1, interval: 250 * time.Millisecond, nextFence: 1, goneSince: map[string]time.Duration{}, heldAt: map[string]time.Duration{}}
	cell := &assignment.Cell{ID: simCell, Last: math.MaxUint64}
	const ranges = 6
	for i := range ranges {
		first, last := assignment.CellBounds(i, ranges)
		cell.Slices = append(cell.Slices, r.newSlice(assignment.Slice{First: first, Last: last}, i))
		key := fmt.Sprintf("key-in-%d", i)
		w.keys = append(w.keys, sampleKey{key, first + 12345}, sampleKey{key + "-last", last})
	}
	for i, key := range []string{"hot-a", "hot-b"} {
		hash := assignment.HashKey(key)
		cell.HotKeys = append(cell.HotKeys, r.newSlice(assignment.Slice{First: hash, Last: hash, Key: key}, i))
		w.keys = append(w.keys, sampleKey{key, hash})
	}
	for i, t := range w.targets {
		cell.Targets = append(cell.Targets, assignment.Rights{Target: t.name, Epoch: 1, Partners: assignment.Partners{
			Dispatcher: first(w, i), Backup: first(w, i+1), Witness: first(w, i+2),
		}})
	}
	r.cell = cell
}

func first(w *world, i int) assignment.Holder {
	name := w.nodes[i%len(w.nodes)].name
	return assignment.Holder{VM: name, Incarnation: name + "#1"}
}

func (r *simRecord) newSlice(s assignment.Slice, i int) assignment.Slice {
	targets := r.world.targets
	s.Owner, s.Fence = targets[i%len(targets)].name, r.fence()
	s.Next, s.NextFence = targets[(i+1)%len(targets)].name, r.fence()
	return s
}

// fence returns a fence that was never written before.
func (r *simRecord) fence() uint64 { r.nextFence++; return r.nextFence }

// raiseFences makes fence return only what is above every fence of a cell.
func (r *simRecord) raiseFences(cell *assignment.Cell) {
	for _, list := range [][]assignment.Slice{cell.Slices, cell.HotKeys} {
		for i := range list {
			r.nextFence = max(r.nextFence, list[i].NextFence)
		}
	}
}

// control is one round of a controller: it reads, decides, and writes with a
// conditional write some time later.
func (r *simRecord) control() {
	w := r.world
	if w.storeDown {
		return
	}
	r.notePlatform()
	expected := r.version
	next := r.cell.Clone()
	held := map[string]map[uint64]string{}
	arrived := map[targetEpoch]bool{}
	lost := map[string]bool{}
	for _, n := range w.nodes {
		if !n.up || n.paused {
			continue
		}
		report := n.machine.report(n.clock(), simCell)
		for _, h := range report.Held {
			if held[h.Target] == nil {
				held[h.Target] = map[uint64]string{}
			}
			held[h.Target][h.Epoch] = n.name
			lost[h.Target] = !h.Alive
		}
		for _, wire := range report.Arrived {
			arrived[refOf(wire)] = true
		}
		for _, accepted := range report.Accepted {
			placement.Accept(next, placement.Acceptance{
				Slice: placement.SliceID{First: accepted.Slice.First, Last: accepted.Slice.Last, Key: accepted.Slice.Key},
				Owner: accepted.Owner, Fence: accepted.Fence, Next: accepted.Next, NextFence: accepted.NextFence,
			})
		}
	}
	r.raiseFences(next)
	r.nameNextOwners(next, lost)
	r.assignPartners(next, held, arrived)
	r.plan(next)
	w.at(w.delay()*3, func() { r.write(expected, next) })
}

// write is the conditional write.
func (r *simRecord) write(expected int64, next *assignment.Cell) {
	if r.world.storeDown || r.version != expected {
		return
	}
	if err := next.Validate(); err != nil {
		r.world.violate("invalid record: %v", err)
	}
	r.cell = next
	r.version++
}

// notePlatform keeps the platform's lagging list of incarnations that are gone.
func (r *simRecord) notePlatform() {
	for i := range r.cell.Targets {
		rights := &r.cell.Targets[i]
		for _, h := range holdersOf(rights) {
			if !r.isUp(h) && r.goneSince[h.Incarnation] == 0 {
				r.goneSince[h.Incarnation] = r.world.now
			}
		}
	}
}

func holdersOf(r *assignment.Rights) []assignment.Holder {
	holders := []assignment.Holder{r.Dispatcher, r.Backup, r.Witness}
	if r.Previous != nil {
		holders = append(holders, r.Previous.Dispatcher, r.Previous.Backup, r.Previous.Witness)
	}
	return holders
}

func (r *simRecord) isUp(h assignment.Holder) bool {
	n := r.world.node(h.VM)
	return n.up && n.self() == h
}

func (r *simRecord) gone(h assignment.Holder) bool {
	since := r.goneSince[h.Incarnation]
	return since != 0 && r.world.now-since > time.Second
}

func (r *simRecord) majorityGone(p *assignment.Partners) bool {
	count := 0
	for _, h := range []assignment.Holder{p.Dispatcher, p.Backup, p.Witness} {
		if r.gone(h) {
			count++
		}
	}
	return count >= 2
}

// nameNextOwners gives slices without a next owner one, and replaces next
// owners that are lost.
func (r *simRecord) nameNextOwners(next *assignment.Cell, lost map[string]bool) {
	name := func(s *assignment.Slice) {
		if s.Next == "" || lost[s.Next] && !lost[s.Owner] {
			s.Next, s.NextFence, s.Moving = r.otherTarget(s.Owner, lost), r.fence(), false
		}
		if lost[s.Next] && lost[s.Owner] && r.world.chance(10) {
			s.Next, s.NextFence = r.otherTarget(s.Owner, lost), r.fence()
		}
	}
	for i := range next.Slices {
		name(&next.Slices[i])
	}
	for i := range next.HotKeys {
		name(&next.HotKeys[i])
	}
}

func (r *simRecord) otherTarget(owner string, lost map[string]bool) string {
	var candidates, fallback []string
	for _, t := range r.world.targets {
		if t.name == owner {
			continue
		}
		fallback = append(fallback, t.name)
		if !lost[t.name] {
			candidates = append(candidates, t.name)
		}
	}
	if len(candidates) == 0 {
		candidates = fallback
	}
	return candidates[r.world.rng.IntN(len(candidates))]
}

// assignPartners follows takeovers and replaces partners that are gone.
func (r *simRecord) assignPartners(next *assignment.Cell, held map[string]map[uint64]string, arrived map[targetEpoch]bool) {
	for i := range next.Targets {
		rights := &next.Targets[i]
		holder := held[rights.Target][rights.Epoch]
		if holder != "" || r.heldAt[rights.Target] == 0 {
			r.heldAt[rights.Target] = r.world.now
		}
		unheld := r.world.now-r.heldAt[rights.Target] > 3*time.Second
		switch {
		case rights.Previous != nil && arrived[targetEpoch{rights.Target, rights.Epoch}]:
			rights.Previous, rights.PreviousEpoch = nil, 0
		case rights.Previous != nil && r.majorityGone(rights.Previous) && !r.majorityGone(&rights.Partners):
			// Nobody can hand over any more: the epoch begins without it.
			rights.Previous, rights.PreviousEpoch, rights.RecoveryFence = nil, 0, r.fence()
		case rights.Previous != nil && r.majorityGone(rights.Previous):
			r.changePartners(rights, "", nil, 0)
		case rights.Previous != nil && r.majorityGone(&rights.Partners):
			r.changePartners(rights, "", rights.Previous, rights.PreviousEpoch)
		case rights.Previous != nil:
		case holder != "" && (holder != rights.Dispatcher.VM || r.gone(rights.Backup) || r.gone(rights.Witness) || r.world.chance(r.movePause/2)):
			previous := rights.Partners
			r.changePartners(rights, holder, &previous, rights.Epoch)
			rights.RecoveryFence = r.fence()
		case r.majorityGone(&rights.Partners):
			r.changePartners(rights, "", nil, 0)
		case unheld:
			previous := rights.Partners
			r.changePartners(rights, "", &previous, rights.Epoch)
			rights.RecoveryFence = r.fence()
		}
	}
}

// changePartners names partners that are up, at the next epoch.
func (r *simRecord) changePartners(rights *assignment.Rights, dispatcher string, previous *assignment.Partners, epoch uint64) {
	var live []*node
	for _, n := range r.world.nodes {
		if n.up {
			live = append(live, n)
		}
	}
	if len(live) < 3 {
		return
	}
	r.world.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	if !r.world.chance(30) {
		sort.SliceStable(live, func(i, j int) bool { return live[i].name == dispatcher && live[j].name != dispatcher })
	}
	rights.Epoch++
	rights.Partners = assignment.Partners{Dispatcher: live[0].self(), Backup: live[1].self(), Witness: live[2].self()}
	rights.Previous, rights.PreviousEpoch = previous, epoch
	if previous == nil || epoch+1 < rights.Epoch {
		rights.RecoveryFence = r.fence()
	}
}

// plan starts planned moves, cancels them, and splits and merges slices.
func (r *simRecord) plan(next *assignment.Cell) {
	if r.movePause == 0 || !r.world.chance(r.movePause) {
		return
	}
	i := r.world.rng.IntN(len(next.Slices) + len(next.HotKeys))
	if i >= len(next.Slices) {
		s := &next.HotKeys[i-len(next.Slices)]
		s.Moving = !s.Moving
		return
	}
	s := &next.Slices[i]
	switch choice := r.world.rng.IntN(6); {
	case choice < 4:
		s.Moving = !s.Moving
	case choice == 4 && len(next.Slices) < 10 && s.Last-s.First > 1:
		left, right := *s, *s
		left.Last = s.First + (s.Last-s.First)/2
		right.First = left.Last + 1
		next.Slices = slices.Replace(next.Slices, i, i+1, left, right)
	case choice == 5 && i+1 < len(next.Slices):
		other := next.Slices[i+1]
		if other.Owner != s.Owner || other.Fence != s.Fence || s.Moving || other.Moving {
			return
		}
		s.Last = other.Last
		if other.NextFence > s.NextFence {
			s.Next, s.NextFence = other.Next, other.NextFence
		}
		next.Slices = slices.Delete(next.Slices, i+1, i+2)
	}
}
