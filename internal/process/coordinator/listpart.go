package coordinator

import (
	"time"

	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

const (
	// keptLists is the number of former lists to which differences are sent; a VM
	// that has an older one gets the whole list.
	keptLists = 32
	// partAge is how long an encoded list is used: the times in it are relative.
	partAge = 100 * time.Millisecond
	// compressAbove is the size of a body, in bytes, above which it is compressed.
	compressAbove = 1 << 10
	// largestBody bounds a body after decompression, in bytes.
	largestBody = 16 << 20
)

// listPart is a part of the state that travels as the difference to what a VM
// has. One difference is encoded once for all VMs.
type listPart[T any] struct {
	present T
	digest  uint64
	// former are the last lists by digest; order has their digests from the
	// oldest on.
	former map[uint64]T
	order  []uint64
	// encoded are the differences by the digest of their base, as of encodedAt.
	encoded   map[uint64]*peerv1.Part
	encodedAt time.Time
	// difference writes what of present is new since former, which is the zero
	// value for a VM that has nothing.
	difference func(former, present T, now time.Time) proto.Message
}

func newListPart[T any](difference func(former, present T, now time.Time) proto.Message) listPart[T] {
	return listPart[T]{former: map[uint64]T{}, encoded: map[uint64]*peerv1.Part{}, difference: difference}
}

// set makes a list the present one.
func (p *listPart[T]) set(list T, digest uint64) {
	p.present = list
	if digest == p.digest {
		return
	}
	p.digest = digest
	if _, again := p.former[digest]; !again {
		p.order = append(p.order, digest)
	}
	p.former[digest] = list
	if len(p.order) > keptLists {
		delete(p.former, p.order[0])
		p.order = p.order[1:]
	}
	clear(p.encoded)
}

// has reports whether a list is known by its digest.
func (p *listPart[T]) has(digest uint64) bool {
	_, known := p.former[digest]
	return known
}

// since returns what a VM lacks that has the list with a digest.
func (p *listPart[T]) since(have uint64, now time.Time) *peerv1.Part {
	if now.Sub(p.encodedAt) > partAge {
		clear(p.encoded)
		p.encodedAt = now
	}
	former, known := p.former[have]
	if !known {
		have = 0
	}
	part := p.encoded[have]
	if part == nil {
		part = encodePart(p.difference(former, p.present, now))
		part.Base = have
		p.encoded[have] = part
	}
	return part
}

func encodePart(list proto.Message) *peerv1.Part {
	body, err := proto.Marshal(list)
	if err != nil {
		// Only invalid UTF-8 fails, which the platform's JSON cannot carry.
		panic(err)
	}
	return partOf(body)
}

// partOf compresses a body that is large.
func partOf(body []byte) *peerv1.Part {
	if len(body) <= compressAbove {
		return &peerv1.Part{Body: body}
	}
	return &peerv1.Part{Body: s2.EncodeBetter(nil, body), Compressed: true}
}

// baseOf returns what a part is to be applied to: nothing if it is whole, otherwise
// what this VM has.
func baseOf[T any](part *peerv1.Part, has T) (base T) {
	if part.Base != 0 {
		base = has
	}
	return base
}

// bodyOf returns the body of a part that another VM has sent.
func bodyOf(part *peerv1.Part) ([]byte, error) {
	if !part.Compressed {
		return part.Body, nil
	}
	size, err := s2.DecodedLen(part.Body)
	if err == nil && size > largestBody {
		return nil, fault.New(fault.Invalid, "the VMs run the same release", "a part of %d bytes is above the limit of %d", size, largestBody)
	}
	var body []byte
	if err == nil {
		body, err = s2.Decode(nil, part.Body)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the VMs run the same release", "a part of the leader's state cannot be read")
	}
	return body, nil
}

// decodePart reads a list that another VM has sent.
func decodePart(part *peerv1.Part, list proto.Message) error {
	body, err := bodyOf(part)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(body, list); err != nil {
		return fault.Wrap(err, fault.Invalid, "the VMs run the same release", "a part of the leader's state cannot be read")
	}
	return nil
}
