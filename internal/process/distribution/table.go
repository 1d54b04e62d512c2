package distribution

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

// PlatformPrefix is the prefix of the platform's lagging list of VMs.
const PlatformPrefix = "platform/vms/"

// prefixes are the parts of the store that are distributed.
var prefixes = []string{manifest.ObjectName, assignment.ObjectPrefix, routing.VMPrefix, PlatformPrefix}

// distributed reports whether an object is one that every node keeps.
func distributed(name string) bool {
	if name == manifest.ObjectName {
		return true
	}
	return slices.ContainsFunc(prefixes[1:], func(prefix string) bool { return strings.HasPrefix(name, prefix) })
}

const (
	// bucketCount is the number of parts that two tables are compared by.
	bucketCount = 64
	// tombstoneAge is how long a deletion is remembered. A peer that was away
	// for longer may bring a deleted object back until the next full list.
	tombstoneAge = 24 * time.Hour
)

// table holds the newest known version of each object. Versions of an object
// only rise; a deletion is kept as a tombstone, so that a lagging peer cannot
// bring the object back.
type table struct {
	objects map[string]store.Object
	// buckets are hashes over the objects that exist; tombstones do not count,
	// so that forgetting one changes nothing.
	buckets [bucketCount]uint64
	highest int64
	deleted []deletion
}

// deletion is the time at which a tombstone was made.
type deletion struct {
	name    string
	version int64
	at      time.Time
}

func newTable() *table { return &table{objects: map[string]store.Object{}} }

// apply records an object if it is newer than what is known and reports
// whether it was.
func (t *table) apply(object store.Object, now time.Time) bool {
	known := t.objects[object.Name]
	if object.Version <= known.Version || !distributed(object.Name) {
		return false
	}
	bucket := bucketOf(object.Name)
	if known.Version > 0 && !known.Deleted {
		t.buckets[bucket] ^= objectHash(known.Name, known.Version)
	}
	if object.Deleted {
		object.Value = nil
		t.deleted = append(t.deleted, deletion{name: object.Name, version: object.Version, at: now})
	} else {
		t.buckets[bucket] ^= objectHash(object.Name, object.Version)
	}
	t.objects[object.Name] = object
	t.highest = max(t.highest, object.Version)
	return true
}

// missingFrom returns tombstones for the objects with the prefix that a list
// at the revision no longer has.
func (t *table) missingFrom(prefix string, listed []store.Object, revision int64) []store.Object {
	present := make(map[string]bool, len(listed))
	for _, object := range listed {
		present[object.Name] = true
	}
	var missing []store.Object
	for name, known := range t.objects {
		if strings.HasPrefix(name, prefix) && !present[name] && !known.Deleted && known.Version <= revision {
			missing = append(missing, store.Object{Name: name, Version: revision, Deleted: true})
		}
	}
	return missing
}

// forget drops tombstones that have served their time.
func (t *table) forget(now time.Time) {
	for len(t.deleted) > 0 && now.Sub(t.deleted[0].at) > tombstoneAge {
		oldest := t.deleted[0]
		if known := t.objects[oldest.name]; known.Deleted && known.Version == oldest.version {
			delete(t.objects, oldest.name)
		}
		t.deleted = t.deleted[1:]
	}
}

// hash summarises the versions of all objects that exist.
func (t *table) hash() uint64 {
	var bytes [8 * bucketCount]byte
	for i, bucket := range t.buckets {
		binary.LittleEndian.PutUint64(bytes[8*i:], bucket)
	}
	return xxh3.Hash(bytes[:])
}

// above returns the objects above a version in the order of their versions, up
// to a total size; at least one if there is any.
func (t *table) above(version int64, maxBytes int) []store.Object {
	var found []store.Object
	for _, object := range t.objects {
		if object.Version > version {
			found = append(found, object)
		}
	}
	slices.SortFunc(found, func(a, b store.Object) int { return int(a.Version - b.Version) })
	size := 0
	for i, object := range found {
		size += len(object.Name) + len(object.Value)
		// Objects of one version stay together: deletions found by a list share one.
		if i > 0 && size > maxBytes && object.Version != found[i-1].Version {
			return found[:i]
		}
	}
	return found
}

// named returns the objects with the names that are known.
func (t *table) named(names []string) []store.Object {
	var found []store.Object
	for _, name := range names {
		if object, ok := t.objects[name]; ok {
			found = append(found, object)
		}
	}
	return found
}

// inBuckets returns the objects, tombstones included, of the buckets marked.
func (t *table) inBuckets(marked [bucketCount]bool) []store.Object {
	var found []store.Object
	for name, object := range t.objects {
		if marked[bucketOf(name)] {
			found = append(found, object)
		}
	}
	return found
}

func bucketOf(name string) int { return int(xxh3.HashString(name) % bucketCount) }

func objectHash(name string, version int64) uint64 {
	return xxh3.HashStringSeed(name, uint64(version))
}
