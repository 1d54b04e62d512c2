package distribution

import (
	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/xxh3"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
)

const (
	// minDifferenceBytes is the size of a value below which it travels whole.
	minDifferenceBytes = 512
	// differenceDictionary is the identity of the dictionary in the compressed form.
	differenceDictionary = 1
)

// difference leads from one version of an object to the next. Manifests and
// cells are large and change little at a time, so it is a small part of the value.
type difference struct {
	version, base int64
	hash          uint64
	content       []byte
}

// differences holds, by object, the difference that led to its present
// version. It is computed once, where the whole value came from the store, and
// passed on as it is.
type differences map[string]difference

// learn computes the difference that led to an object. An object that is small,
// or was not known before, has none.
func (ds differences) learn(before, object store.Object) error {
	delete(ds, object.Name)
	if object.Deleted || before.Version == 0 || before.Deleted || len(object.Value) < minDifferenceBytes {
		return nil
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderCRC(false),
		zstd.WithEncoderDictRaw(differenceDictionary, before.Value))
	if err != nil {
		return err
	}
	defer encoder.Close()
	content := encoder.EncodeAll(object.Value, nil)
	if len(content) < len(object.Value) {
		ds[object.Name] = difference{version: object.Version, base: before.Version, hash: xxh3.Hash(object.Value), content: content}
	}
	return nil
}

// keep remembers a difference that a peer computed.
func (ds differences) keep(object *peerv1.Object) {
	ds[object.Name] = difference{version: object.Version, base: object.BaseVersion, hash: object.ValueHash, content: object.Value}
}

// wire returns the form of an object for VMs that probably have the version
// before: the difference if there is one.
func (ds differences) wire(object store.Object) *peerv1.Object {
	d, ok := ds[object.Name]
	if !ok || d.version != object.Version {
		return objectToWire(object)
	}
	return &peerv1.Object{Name: object.Name, Version: object.Version, Value: d.content, BaseVersion: d.base, ValueHash: d.hash}
}

func (ds differences) wireAll(objects []store.Object) []*peerv1.Object {
	converted := make([]*peerv1.Object, len(objects))
	for i, object := range objects {
		converted[i] = ds.wire(object)
	}
	return converted
}

// restore returns the whole object that a difference leads to from the known
// one. It fails with Conflict if the known version is not the base.
func restore(known store.Object, object *peerv1.Object) (store.Object, error) {
	if known.Version != object.BaseVersion || known.Deleted {
		return store.Object{}, fault.New(fault.Conflict, "fetch the whole object", "object %q is at version %d, the difference begins at %d",
			object.Name, known.Version, object.BaseVersion)
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(2*store.MaxValueBytes),
		zstd.WithDecoderDictRaw(differenceDictionary, known.Value))
	if err != nil {
		return store.Object{}, err
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(object.Value, nil)
	if err != nil {
		return store.Object{}, fault.Wrap(err, fault.Invalid, "fetch the whole object", "the difference of object %q cannot be read", object.Name)
	}
	if xxh3.Hash(value) != object.ValueHash {
		return store.Object{}, fault.New(fault.Invalid, "fetch the whole object", "the difference of object %q leads to another value", object.Name)
	}
	return store.Object{Name: object.Name, Version: object.Version, Value: value}, nil
}

// receive turns what a peer pushed into whole objects and names those that
// have to be fetched because their base is not known here.
func (d *Distribution) receive(pushed []*peerv1.Object) (whole []store.Object, missing []string) {
	for _, object := range pushed {
		if object.BaseVersion == 0 {
			whole = append(whole, objectFromWire(object))
			continue
		}
		known := d.table.objects[object.Name]
		if object.Version <= known.Version {
			continue
		}
		restored, err := restore(known, object)
		if err != nil {
			missing = append(missing, object.Name)
			continue
		}
		whole = append(whole, restored)
		d.received[object.Name] = object
	}
	return whole, missing
}
