package distribution

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
)

const (
	// treeDegree is the number of VMs that a VM passes changes on to.
	treeDegree = 3
	// pushTimeout bounds one push; after it the child's own children are served.
	pushTimeout = 800 * time.Millisecond
	// beatInterval is the interval at which watchers send their contact with the
	// store down the tree.
	beatInterval = 2 * time.Second
	// beatGain is what a beat must improve to be passed on, which ends beats
	// that travel in a circle because two VMs know different members.
	beatGain = 500 * time.Millisecond
)

// tree is the order in which changes travel through the members of one failure
// domain from a root. Two neighbouring roots use opposite orders, so that an
// inner VM of one tree is a leaf of the other.
type tree struct {
	root  string
	order []string
}

// treeOf returns the tree of a root over the members of a failure domain.
func treeOf(root string, members []string) tree {
	order := make([]string, 0, len(members))
	reversed := false
	for i, vm := range members {
		if vm == root {
			reversed = i%2 == 1
			continue
		}
		order = append(order, vm)
	}
	if reversed {
		slices.Reverse(order)
	}
	return tree{root: root, order: order}
}

// children returns the VMs that a VM passes changes on to.
func (t tree) children(vm string) []string {
	first := 0
	if vm != t.root {
		position := slices.Index(t.order, vm)
		if position < 0 {
			return nil
		}
		first = treeDegree * (position + 1)
	}
	if first >= len(t.order) {
		return nil
	}
	return t.order[first:min(first+treeDegree, len(t.order))]
}

// ownTree returns the tree of a root in the own failure domain.
func (d *Distribution) ownTree(root string) tree {
	return treeOf(root, d.roster.members[d.config.Self.FailureDomain])
}

// push sends objects to the own children in a tree. It runs on the loop.
func (d *Distribution) push(root string, objects []store.Object) {
	t := d.ownTree(root)
	children := t.children(d.config.Self.Name)
	for _, part := range parts(objects) {
		message := &peerv1.Objects{Objects: d.differences.wireAll(part), StoreContactAgeMs: ageToWire(d.contacts.store, time.Now()), Root: root}
		for _, child := range children {
			d.pushTo(t, child, message)
		}
	}
}

// parts divides objects so that no message is much larger than fetchBytes.
func parts(objects []store.Object) [][]store.Object {
	var divided [][]store.Object
	first, size := 0, 0
	for i, object := range objects {
		bytes := len(object.Name) + len(object.Value)
		if i > first && size+bytes > fetchBytes {
			divided = append(divided, objects[first:i])
			first, size = i, 0
		}
		size += bytes
	}
	if first < len(objects) {
		divided = append(divided, objects[first:])
	}
	return divided
}

// pushTo sends objects to a child. The children of a VM that is silent, or
// fails to confirm, are served in its place.
func (d *Distribution) pushTo(t tree, child string, message *peerv1.Objects) {
	d.metrics.pushes.Inc(1)
	adopted := d.contacts.isSilent(child)
	if adopted {
		d.pushToChildrenOf(t, child, message)
	}
	go func() {
		if d.deliver(child, message) || adopted {
			return
		}
		d.config.Loop.Post(func() { d.pushToChildrenOf(t, child, message) })
	}()
}

func (d *Distribution) pushToChildrenOf(t tree, vm string, message *peerv1.Objects) {
	for _, child := range t.children(vm) {
		d.pushTo(t, child, message)
	}
}

// deliver sends objects to a VM and reports whether it confirmed them.
func (d *Distribution) deliver(vm string, message *peerv1.Objects) bool {
	ctx, cancel := context.WithTimeout(d.ctx, pushTimeout)
	defer cancel()
	_, err := d.config.Sender.Call(ctx, vm, objectsMessage(message))
	d.noteCall(vm, err)
	return err == nil
}

// spread sends objects that this node wrote itself everywhere: down a tree of
// its own, and to one VM of each other failure domain that does the same. The
// store may fail right after the write, so nobody waits for the watchers.
func (d *Distribution) spread(objects []store.Object) {
	if len(objects) == 0 {
		return
	}
	d.push(d.config.Self.Name, objects)
	message := &peerv1.Objects{Objects: d.differences.wireAll(objects), StoreContactAgeMs: ageToWire(d.contacts.store, time.Now()), Spread: true}
	for _, domain := range d.roster.domains {
		if domain != d.config.Self.FailureDomain {
			entries := d.entryPoints(domain)
			go func() {
				for _, vm := range entries {
					if d.deliver(vm, message) {
						return
					}
				}
			}()
		}
	}
}

// entryPoints returns the VMs of another failure domain through which it is
// reached, those that are not silent first.
func (d *Distribution) entryPoints(domain string) []string {
	var answering, silent []string
	for _, vm := range d.roster.members[domain] {
		if d.contacts.isSilent(vm) {
			silent = append(silent, vm)
		} else {
			answering = append(answering, vm)
		}
	}
	entries := append(answering, silent...)
	return entries[:min(len(entries), probesPerTick)]
}

// handleObjects records objects that a peer sent and passes on what was new.
func (d *Distribution) handleObjects(from peer.Peer, m *peerv1.Objects) *peerv1.Control {
	d.contacts.storeAnswered(contactFromWire(m.StoreContactAgeMs, time.Now()))
	whole, missing := d.receive(m.Objects)
	fresh := d.apply(whole)
	clear(d.received)
	if len(missing) > 0 {
		go d.fetchMissing(from.VM, missing, m)
	}
	d.passOn(m, fresh)
	return ackMessage(d.table.highest)
}

// fetchMissing fetches objects whole and passes them on like those pushed.
func (d *Distribution) fetchMissing(vm string, names []string, pushed *peerv1.Objects) {
	objects, err := d.askFor(d.ctx, vm, &peerv1.FetchObjects{Names: names})
	if err != nil {
		return // The exchange of digests repairs what is still missing.
	}
	d.config.Loop.Post(func() { d.passOn(pushed, d.apply(objects)) })
}

// passage is an object version that travels down the tree of a root.
type passage struct {
	root, name string
	version    int64
}

// passageAge is how long a passage is remembered; it is far longer than a push
// takes through a tree.
const passageAge = 30 * time.Second

// toPass returns the objects of a push that are the newest known here and were
// not passed on in its tree yet. An object that came by another tree first is
// passed on all the same: the VMs below may be leaves of that other tree, or
// lie behind a VM that fails in it.
func (d *Distribution) toPass(m *peerv1.Objects) []store.Object {
	var found []store.Object
	for _, pushed := range m.Objects {
		known := d.table.objects[pushed.Name]
		key := passage{root: m.Root, name: pushed.Name, version: pushed.Version}
		if _, passed := d.passed[key]; passed || known.Version != pushed.Version {
			continue
		}
		d.passed[key] = time.Now()
		found = append(found, known)
	}
	return found
}

// forgetPassages drops what no push can repeat any more.
func (d *Distribution) forgetPassages(now time.Time) {
	maps.DeleteFunc(d.passed, func(_ passage, at time.Time) bool { return now.Sub(at) > passageAge })
}

// passOn sends what a push brought to the own children, once per tree.
func (d *Distribution) passOn(m *peerv1.Objects, fresh []store.Object) {
	switch {
	case m.Root != "":
		d.push(m.Root, d.toPass(m))
	case m.Spread || d.watching != nil:
		d.push(d.config.Self.Name, fresh)
	}
}

// sendBeat sends a watcher's contact with the store down its tree.
func (d *Distribution) sendBeat(now time.Time) {
	if d.watching == nil || now.Sub(d.lastBeat) < beatInterval {
		return
	}
	d.lastBeat = now
	d.passBeat(d.config.Self.Name)
}

// passBeat sends the own digest to the own children in a tree.
func (d *Distribution) passBeat(root string) {
	digest := d.digest()
	digest.Root = root
	t := d.ownTree(root)
	for _, child := range d.answering(t, t.children(d.config.Self.Name)) {
		d.config.Sender.Send(child, digestMessage(digest))
	}
}

// answering adds to silent VMs their children.
func (d *Distribution) answering(t tree, vms []string) []string {
	var found []string
	for _, vm := range vms {
		found = append(found, vm)
		if d.contacts.isSilent(vm) {
			found = append(found, d.answering(t, t.children(vm))...)
		}
	}
	return found
}

// answeringOnly returns the children of a VM in a tree, with silent ones
// replaced by their children.
func (d *Distribution) answeringOnly(t tree, vm string) []string {
	return slices.DeleteFunc(d.answering(t, t.children(vm)), d.contacts.isSilent)
}
