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
	// detailInterval is the minimum time between two messages to one VM with the owners of
	// keys or the list of VMs. largeFleetDetailInterval is the same in a large fleet.
	// The broker learns of new owners at once; other VMs use them only while they
	// cannot reach it.
	detailInterval           = time.Second
	largeFleetDetailInterval = 2 * time.Second
	// sliceVersionInterval is the minimum time between two versions of the slices. maxBases
	// versions must span more than largeFleetDetailInterval, so that a VM's version is
	// still a base for diffs.
	sliceVersionInterval = 250 * time.Millisecond
)

// parts holds the leader's state in the form in which it is sent to the other VMs. Each
// part has a version: that of the configuration, or a digest of its content.
type parts struct {
	config        *peerv1.Part
	configVersion uint64

	targets listPart[targetSet]
	slices  listPart[sliceSet]
	members listPart[memberSet]

	// latestSlices are the current slices; slicesPending is set if they are not in the
	// slices part yet. They change with every confirmed grant, so they become a new
	// version of the part only if the last one, made at slicesSetAt, is at least
	// sliceVersionInterval old.
	latestSlices  sliceSet
	slicesPending bool
	slicesSetAt   time.Time
}

type (
	targetSet struct {
		targets   map[string]*fleet.Target
		evacuated map[string]bool
	}
	// sliceSet has the slices of each service, sorted by key.
	sliceSet  map[string][]fleet.Slice
	memberSet struct {
		members map[string]fleet.Member
		brokers map[string]string
	}
)

func newParts() *parts {
	return &parts{
		targets: newListPart(diffTargets), slices: newListPart(diffSlices), members: newListPart(diffMembers),
	}
}

// adoptLists starts from the lists that this VM received from the former leader, under their
// digests there. Other VMs have the same lists and receive changes as diffs against them.
func (p *parts) adoptLists(view *fleet.View, have *peerv1.PartVersions) {
	if have.Targets != 0 {
		p.targets.set(targetSet{view.Targets, view.Evacuated}, have.Targets)
	}
	if have.Slices != 0 {
		p.slices.set(sliceSet(view.Slices), have.Slices)
	}
	if have.Members != 0 {
		p.members.set(memberSet{view.Members, view.Brokers}, have.Members)
	}
}

// versions returns the current version of each part.
func (p *parts) versions(now time.Time) *peerv1.PartVersions {
	if p.slicesPending && now.Sub(p.slicesSetAt) >= sliceVersionInterval {
		p.slicesPending, p.slicesSetAt = false, now
		p.slices.set(p.latestSlices, digestSlices(p.latestSlices))
	}
	return &peerv1.PartVersions{
		Config: p.configVersion, Targets: p.targets.digest, Slices: p.slices.digest, Members: p.members.digest,
	}
}

func (p *parts) setConfig(config *fleet.Config) {
	if config.Version == p.configVersion {
		return
	}
	p.config, p.configVersion = partOf(encodeConfig(config)), config.Version
}

func (p *parts) setTargets(targets map[string]*fleet.Target, evacuated map[string]bool) {
	p.targets.set(targetSet{targets, evacuated}, digestTargets(targets, evacuated))
}

func (p *parts) setSlices(services sliceSet) { p.latestSlices, p.slicesPending = services, true }

func (p *parts) setMembers(members map[string]fleet.Member, brokers map[string]string) {
	p.members.set(memberSet{members, brokers}, digestMembers(members, brokers))
}

// digest computes a hash of a sequence of values.
type digest struct{ hash xxh3.Hasher }

func (d *digest) addText(values ...string) {
	for _, value := range values {
		d.addNumbers(uint64(len(value)))
		_, _ = d.hash.WriteString(value)
	}
}

func (d *digest) addNumbers(values ...uint64) {
	var buffer [8]byte
	for _, value := range values {
		binary.LittleEndian.PutUint64(buffer[:], value)
		_, _ = d.hash.Write(buffer[:])
	}
}

func (d *digest) addFlags(values ...bool) {
	for _, value := range values {
		if value {
			d.addNumbers(1)
		} else {
			d.addNumbers(0)
		}
	}
}

// sum returns the hash. It is never 0, which stands for a VM without the part.
func (d *digest) sum() uint64 { return d.hash.Sum64() | 1 }

func digestTargets(targets map[string]*fleet.Target, evacuated map[string]bool) uint64 {
	d := &digest{}
	for _, id := range slices.Sorted(maps.Keys(targets)) {
		t := targets[id]
		d.addText(t.ID, t.Service, t.Address, t.FailureDomain)
		d.addNumbers(uint64(t.Born), uint64(t.Slots))
		d.addFlags(t.Leaving)
	}
	d.addText(slices.Sorted(maps.Keys(evacuated))...)
	return d.sum()
}

func digestSlices(services map[string][]fleet.Slice) uint64 {
	d := &digest{}
	for _, service := range slices.Sorted(maps.Keys(services)) {
		d.addText(service)
		for _, s := range services[service] {
			d.addText(s.Owner.ID)
			d.addNumbers(uint64(s.First), uint64(s.Last), uint64(s.Owner.Born))
			d.addFlags(s.Ready)
		}
	}
	return d.sum()
}

func digestMembers(members map[string]fleet.Member, brokers map[string]string) uint64 {
	d := &digest{}
	for _, vm := range slices.Sorted(maps.Keys(members)) {
		d.addText(vm, members[vm].Incarnation, members[vm].Address)
	}
	for _, service := range slices.Sorted(maps.Keys(brokers)) {
		d.addText(service, brokers[service])
	}
	return d.sum()
}
