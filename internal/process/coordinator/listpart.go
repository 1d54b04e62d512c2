package coordinator

import (
	"time"

	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

const (
	// maxBases is the number of recent lists that can be the base of a diff. A VM
	// that has an older one is sent the full list.
	maxBases = 32
	// maxPartAge is how long an encoded list is reused. It is short because the times in a
	// list are relative to its encoding.
	maxPartAge = 100 * time.Millisecond
	// compressAboveBytes is the size in bytes above which a body is compressed.
	compressAboveBytes = 1 << 10
	// maxPartBytes is the maximum size of a decompressed body in bytes.
	maxPartBytes = 16 << 20
)

// listPart is a list in the leader's state. A VM is sent only a diff against the list that
// it has. Encoded diffs are shared by all VMs that have the same list.
type listPart[T any] struct {
	current T
	digest  uint64
	// bases are the recent lists by digest, including the current one. baseOrder has
	// their digests, the oldest first.
	bases     map[uint64]T
	baseOrder []uint64
	// encoded are the encoded diffs by the digest of their base. They are no older
	// than encodedAt.
	encoded   map[uint64]*peerv1.Part
	encodedAt time.Time
	// diff returns the changes from former to present. former is the zero value
	// for a VM without a list.
	diff func(former, present T, now time.Time) proto.Message
}

func newListPart[T any](diff func(former, present T, now time.Time) proto.Message) listPart[T] {
	return listPart[T]{bases: map[uint64]T{}, encoded: map[uint64]*peerv1.Part{}, diff: diff}
}

// set replaces the current list.
func (p *listPart[T]) set(list T, digest uint64) {
	p.current = list
	if digest == p.digest {
		return
	}
	p.digest = digest
	if _, known := p.bases[digest]; !known {
		p.baseOrder = append(p.baseOrder, digest)
	}
	p.bases[digest] = list
	if len(p.baseOrder) > maxBases {
		delete(p.bases, p.baseOrder[0])
		p.baseOrder = p.baseOrder[1:]
	}
	clear(p.encoded)
}

// has reports whether the list with a digest can be the base of a diff.
func (p *listPart[T]) has(digest uint64) bool {
	_, known := p.bases[digest]
	return known
}

// since returns the diff for a VM that has the list with the given digest, or the full
// list if that list is not among the bases.
func (p *listPart[T]) since(have uint64, now time.Time) *peerv1.Part {
	if now.Sub(p.encodedAt) > maxPartAge {
		clear(p.encoded)
		p.encodedAt = now
	}
	base, known := p.bases[have]
	if !known {
		have = 0
	}
	part := p.encoded[have]
	if part == nil {
		part = encodePart(p.diff(base, p.current, now))
		part.Base = have
		p.encoded[have] = part
	}
	return part
}

// encodePart returns a list as a part.
func encodePart(list proto.Message) *peerv1.Part {
	body, err := proto.Marshal(list)
	if err != nil {
		// Only invalid UTF-8 cannot be encoded, and strings decoded from the
		// platform's JSON have none.
		panic(err)
	}
	return partOf(body)
}

// partOf returns a part with the given body, which is compressed if it is large.
func partOf(body []byte) *peerv1.Part {
	if len(body) <= compressAboveBytes {
		return &peerv1.Part{Body: body}
	}
	return &peerv1.Part{Body: s2.EncodeBetter(nil, body), Compressed: true}
}

// baseOf returns the list that a part is applied to: an empty one if the part is a full
// list, otherwise the one that this VM has.
func baseOf[T any](part *peerv1.Part, has T) (base T) {
	if part.Base != 0 {
		base = has
	}
	return base
}

// bodyOf returns the decompressed body of a part that was received from another VM.
func bodyOf(part *peerv1.Part) ([]byte, error) {
	if !part.Compressed {
		return part.Body, nil
	}
	size, err := s2.DecodedLen(part.Body)
	if err == nil && size > maxPartBytes {
		return nil, fault.New(fault.Invalid, "run the same release on all VMs", "a part of %d bytes is above the limit of %d", size, maxPartBytes)
	}
	var body []byte
	if err == nil {
		body, err = s2.Decode(nil, part.Body)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "run the same release on all VMs", "a part of the leader's state cannot be read")
	}
	return body, nil
}

// decodePart decodes a part that was received from another VM into a list.
func decodePart(part *peerv1.Part, list proto.Message) error {
	body, err := bodyOf(part)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(body, list); err != nil {
		return fault.Wrap(err, fault.Invalid, "run the same release on all VMs", "a part of the leader's state cannot be read")
	}
	return nil
}
