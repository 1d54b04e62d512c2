package coordinator

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// keptLists is the number of former lists of targets from which a VM can be
	// brought up to date by the difference.
	keptLists = 32
	// partAge is how long an encoded list of targets is used: the times in it are
	// relative.
	partAge = 100 * time.Millisecond
	// detailPause is the time between two sendings of the owners of keys, or of
	// the VMs, to one VM; largePause is the same in a large fleet. The broker
	// knows the owners at once; others use them only while they do not reach it.
	detailPause = time.Second
	largePause  = 2 * time.Second
)

// parts are the parts of a leader's state as they are sent: one change is
// encoded once for all VMs.
type parts struct {
	config  []byte
	digests peerv1.PartVersions

	targets   map[string]*fleet.Target
	evacuated map[string]bool
	// former are the last lists of targets by digest; order has their digests
	// from the oldest on.
	former map[uint64]map[string]*fleet.Target
	order  []uint64
	// lists are the encoded lists by the digest of their base, as of listsAt.
	lists   map[uint64]*peerv1.TargetList
	listsAt time.Time

	// owned are the slices; they change with every grant that is confirmed, so
	// they are encoded only when they are sent, until then slices is nil.
	owned   map[string][]fleet.Slice
	slices  *peerv1.SliceList
	members *peerv1.MemberList
}

func newParts() *parts {
	return &parts{former: map[uint64]map[string]*fleet.Target{}, lists: map[uint64]*peerv1.TargetList{}}
}

// versions returns the present digests.
func (p *parts) versions() *peerv1.PartVersions {
	if p.slices == nil && p.owned != nil {
		p.slices, p.digests.Slices = slicesToWire(p.owned), digestSlices(p.owned)
	}
	return &peerv1.PartVersions{
		Config: p.digests.Config, Targets: p.digests.Targets, Slices: p.digests.Slices, Members: p.digests.Members,
	}
}

func (p *parts) setConfig(config *fleet.Config) {
	if config.Version == p.digests.Config {
		return
	}
	p.config, p.digests.Config = encodeConfig(config), config.Version
}

func (p *parts) setTargets(targets map[string]*fleet.Target, evacuated map[string]bool) {
	digest := digestTargets(targets, evacuated)
	if digest == p.digests.Targets {
		p.targets = targets
		return
	}
	p.targets, p.evacuated, p.digests.Targets = targets, evacuated, digest
	p.former[digest] = targets
	p.order = append(p.order, digest)
	if len(p.order) > keptLists {
		delete(p.former, p.order[0])
		p.order = p.order[1:]
	}
	clear(p.lists)
}

// targetList returns what a VM lacks that has the list with a digest.
func (p *parts) targetList(have uint64, now time.Time) *peerv1.TargetList {
	if now.Sub(p.listsAt) > partAge {
		clear(p.lists)
		p.listsAt = now
	}
	if p.former[have] == nil {
		have = 0
	}
	list := p.lists[have]
	if list == nil {
		list = differenceOf(p.former[have], p.targets, now)
		list.Base = have
		list.Evacuated = slices.Sorted(maps.Keys(p.evacuated))
		p.lists[have] = list
	}
	return list
}

func (p *parts) setSlices(services map[string][]fleet.Slice) {
	p.owned, p.slices = services, nil
}

func (p *parts) setMembers(members map[string]fleet.Member, brokers map[string]string) {
	p.members = membersToWire(members, brokers)
	p.digests.Members = digestMembers(members, brokers)
}

// digest hashes values in order.
type digest struct{ hash xxh3.Hasher }

func (d *digest) text(values ...string) {
	for _, value := range values {
		d.number(uint64(len(value)))
		_, _ = d.hash.WriteString(value)
	}
}

func (d *digest) number(values ...uint64) {
	var buffer [8]byte
	for _, value := range values {
		binary.LittleEndian.PutUint64(buffer[:], value)
		_, _ = d.hash.Write(buffer[:])
	}
}

// sum is never 0, which means that a VM has nothing.
func (d *digest) sum() uint64 { return d.hash.Sum64() | 1 }

func digestTargets(targets map[string]*fleet.Target, evacuated map[string]bool) uint64 {
	d := &digest{}
	for _, id := range slices.Sorted(maps.Keys(targets)) {
		t := targets[id]
		d.text(t.ID, t.Service, t.Address, t.FailureDomain)
		leaving := uint64(0)
		if t.Leaving {
			leaving = 1
		}
		d.number(uint64(t.Born), uint64(t.Slots), leaving)
	}
	d.text(slices.Sorted(maps.Keys(evacuated))...)
	return d.sum()
}

func digestSlices(services map[string][]fleet.Slice) uint64 {
	d := &digest{}
	for _, service := range slices.Sorted(maps.Keys(services)) {
		d.text(service)
		for _, s := range services[service] {
			ready := uint64(0)
			if s.Ready {
				ready = 1
			}
			d.text(s.Owner.ID)
			d.number(uint64(s.First), uint64(s.Last), uint64(s.Owner.Born), s.Fence, ready)
		}
	}
	return d.sum()
}

func digestMembers(members map[string]fleet.Member, brokers map[string]string) uint64 {
	d := &digest{}
	for _, vm := range slices.Sorted(maps.Keys(members)) {
		d.text(vm, members[vm].Incarnation, members[vm].Address)
	}
	for _, service := range slices.Sorted(maps.Keys(brokers)) {
		d.text(service, brokers[service])
	}
	return d.sum()
}
