package distribution

import (
	"context"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
)

const (
	// tickInterval is the interval between exchanges of digests.
	tickInterval = time.Second
	// exchangeTimeout bounds one exchange of digests.
	exchangeTimeout = 500 * time.Millisecond
	// fetchTimeout bounds one fetch of objects.
	fetchTimeout = 3 * time.Second
	// fetchBytes is the size of one answer to a fetch; a larger object travels alone.
	fetchBytes = 256 << 10
	// fetchRounds bounds the fetches of one repair.
	fetchRounds = 1000
)

// digest summarises the own table. It runs on the loop.
func (d *Distribution) digest() *peerv1.Digest {
	return &peerv1.Digest{
		Hash: d.table.hash(), Highest: d.table.highest,
		StoreContactAgeMs: ageToWire(d.contacts.store, time.Now()),
		LiveBefore:        d.rank.liveBefore,
		Loaded:            d.loaded,
	}
}

// digestFromLoop is digest for other goroutines; nil once the loop has ended.
func (d *Distribution) digestFromLoop() (digest *peerv1.Digest) {
	d.config.Loop.Call(func() { digest = d.digest() })
	return digest
}

// compareWithRandomPeer exchanges digests with a random partner; the failure
// domains take turns.
func (d *Distribution) compareWithRandomPeer() {
	vm, ok := d.partners.choose(&d.roster, &d.contacts, d.config.Self, time.Now())
	if !ok {
		return
	}
	digest := d.digest()
	go d.exchange(d.ctx, vm, digest)
}

// exchange sends a digest to a VM and processes its answer. It returns nil if
// there was none. It runs on any goroutine but the loop.
func (d *Distribution) exchange(ctx context.Context, vm string, digest *peerv1.Digest) *peerv1.Digest {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := time.Now()
	answer, err := d.config.Sender.Call(ctx, vm, digestMessage(digest))
	if err == nil && answer.GetDigest() == nil {
		err = fault.New(fault.Invalid, "update the older daemon", "VM %s answered a digest with another message", vm)
	}
	d.noteCall(vm, err)
	if err != nil {
		return nil
	}
	reply := answer.GetDigest()
	d.config.Loop.Post(func() {
		d.contacts.storeAnswered(contactFromWire(reply.StoreContactAgeMs, sent))
		d.repairIfDifferent(vm, reply)
	})
	return reply
}

// noteCall records whether a VM answered.
func (d *Distribution) noteCall(vm string, err error) {
	d.config.Loop.Post(func() {
		now := time.Now()
		if err == nil {
			if d.contacts.isSilent(vm) {
				events.VMHeard.Log(d.config.Logger).Str("vm", vm).Send()
			}
			d.contacts.reached(vm, now)
			return
		}
		if !d.contacts.isSilent(vm) && d.ctx.Err() == nil {
			events.VMSilent.Log(d.config.Logger).Str("vm", vm).Err(err).Send()
		}
		d.contacts.failed(vm, now)
	})
}

// handleDigest answers a digest, or passes on one that travels down a tree.
func (d *Distribution) handleDigest(from peer.Peer, m *peerv1.Control, digest *peerv1.Digest) *peerv1.Control {
	gain := d.contacts.storeAnswered(contactFromWire(digest.StoreContactAgeMs, time.Now()))
	d.repairIfDifferent(from.VM, digest)
	if digest.Root != "" {
		if gain >= beatGain {
			d.passBeat(digest.Root)
		}
		return nil
	}
	if m.Call == 0 {
		return nil
	}
	reply := d.digest()
	if !digest.Loaded {
		reply.Vm = d.config.Self.Name
	}
	if digest.Full {
		d.addDiffering(reply, digest.Buckets)
	}
	return digestMessage(reply)
}

// addDiffering lists the versions in the buckets that differ from a peer's.
func (d *Distribution) addDiffering(reply *peerv1.Digest, theirs []uint64) {
	var marked [bucketCount]bool
	for i := range min(len(theirs), bucketCount) {
		if theirs[i] != d.table.buckets[i] {
			marked[i] = true
			reply.Differing = append(reply.Differing, uint32(i))
		}
	}
	for _, object := range d.table.inBuckets(marked) {
		reply.Versions = append(reply.Versions, &peerv1.ObjectVersion{Name: object.Name, Version: object.Version})
	}
}

// handleFetch answers a fetch with what is known.
func (d *Distribution) handleFetch(m *peerv1.FetchObjects) *peerv1.Control {
	objects := d.table.named(m.Names)
	if len(m.Names) == 0 {
		objects = d.table.above(m.Above, fetchBytes)
	}
	return objectsMessage(&peerv1.Objects{
		Objects: objectsToWire(objects), StoreContactAgeMs: ageToWire(d.contacts.store, time.Now()),
	})
}

// repairIfDifferent fetches from a peer what it has and this node lacks. Both
// sides of an exchange do so; nobody sends what was not asked for.
func (d *Distribution) repairIfDifferent(vm string, theirs *peerv1.Digest) {
	if theirs.Hash == d.table.hash() || d.repairing || !d.loaded || !theirs.Loaded {
		return
	}
	d.repairing = true
	go func() {
		_ = d.pull(d.ctx, vm, theirs)
		d.config.Loop.Post(func() { d.repairing = false })
	}()
}

// pull fetches everything newer that a peer has: first what is above the own
// highest version, then, if the tables still differ, what differs by bucket.
// It runs on any goroutine but the loop.
func (d *Distribution) pull(ctx context.Context, vm string, theirs *peerv1.Digest) error {
	for range fetchRounds {
		mine, hash := d.position()
		if hash == theirs.Hash {
			return nil
		}
		if mine >= theirs.Highest {
			break
		}
		fetched, err := d.fetch(ctx, vm, &peerv1.FetchObjects{Above: mine})
		if err != nil || fetched == 0 {
			return err
		}
	}
	return d.pullByBucket(ctx, vm)
}

// position returns the highest version and the hash of the own table.
func (d *Distribution) position() (highest int64, hash uint64) {
	d.config.Loop.Call(func() { highest, hash = d.table.highest, d.table.hash() })
	return highest, hash
}

// pullByBucket compares the buckets with a peer's and fetches what is newer there.
func (d *Distribution) pullByBucket(ctx context.Context, vm string) error {
	var request *peerv1.Digest
	if !d.config.Loop.Call(func() {
		request = d.digest()
		request.Full = true
		request.Buckets = append([]uint64(nil), d.table.buckets[:]...)
	}) {
		return ctx.Err()
	}
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	answer, err := d.config.Sender.Call(callCtx, vm, digestMessage(request))
	if err != nil {
		return err
	}
	var newer []string
	d.config.Loop.Call(func() { newer = d.newerThere(answer.GetDigest().GetVersions()) })
	if len(newer) == 0 {
		return nil
	}
	_, err = d.fetch(ctx, vm, &peerv1.FetchObjects{Names: newer})
	return err
}

// newerThere returns the names of the objects of which a peer has a newer
// version. It runs on the loop.
func (d *Distribution) newerThere(versions []*peerv1.ObjectVersion) []string {
	var newer []string
	for _, version := range versions {
		if version.Version > d.table.objects[version.Name].Version {
			newer = append(newer, version.Name)
		}
	}
	return newer
}

// fetch gets objects from a peer, applies them, and returns how many came.
func (d *Distribution) fetch(ctx context.Context, vm string, request *peerv1.FetchObjects) (int, error) {
	objects, err := d.askFor(ctx, vm, request)
	if err != nil {
		return 0, err
	}
	d.config.Loop.Call(func() { d.repaired(vm, objects) })
	return len(objects), nil
}

// askFor gets whole objects from a peer.
func (d *Distribution) askFor(ctx context.Context, vm string, request *peerv1.FetchObjects) ([]store.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	answer, err := d.config.Sender.Call(ctx, vm, fetchMessage(request))
	if err != nil {
		return nil, err
	}
	return objectsFromWire(answer.GetObjects().GetObjects()), nil
}

// repaired applies fetched objects. A watcher passes them on, since its
// failure domain relies on it.
func (d *Distribution) repaired(vm string, objects []store.Object) {
	fresh := d.apply(objects)
	if len(fresh) == 0 || !d.loaded {
		return
	}
	d.metrics.repairs.Inc(int64(len(fresh)))
	events.ObjectsRepaired.Log(d.config.Logger).Str("peer", vm).Int("objects", len(fresh)).Send()
	if d.watching != nil {
		d.push(d.config.Self.Name, fresh)
	}
}
