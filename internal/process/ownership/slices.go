package ownership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
)

// piece is a part of a slice with the fence at which a target holds it. The
// hashes of hot keys are cut out of ranges, so that the pieces of a cell never
// overlap and each can be withdrawn and released by itself.
type piece struct {
	slice assignment.Slice
	fence uint64
}

// within reports whether the piece lies in another of the same fence.
func (p *piece) within(other *piece) bool {
	if p.fence != other.fence {
		return false
	}
	if other.slice.Key != "" {
		return p.slice.Key == other.slice.Key
	}
	return other.slice.First <= p.slice.First && p.slice.Last <= other.slice.Last
}

// ownedPieces returns the pieces that the record gives to a target.
func (r *recordView) ownedPieces(cellID, target string) []piece {
	version, ok := r.cells[cellID]
	if !ok || r.targets[target].free {
		return nil
	}
	var owned []piece
	for i := range version.cell.Slices {
		s := &version.cell.Slices[i]
		if s.Owner != target {
			continue
		}
		for _, part := range cutHotKeys(*s, version.cell.HotKeys) {
			owned = append(owned, piece{extentOf(&part), s.Fence})
		}
	}
	for i := range version.cell.HotKeys {
		if s := &version.cell.HotKeys[i]; s.Owner == target {
			owned = append(owned, piece{extentOf(s), s.Fence})
		}
	}
	return owned
}

// extentOf returns the keys of a slice without its record, so that a change of
// the record alone does not look like a change of the set.
func extentOf(s *assignment.Slice) assignment.Slice {
	return assignment.Slice{First: s.First, Last: s.Last, Key: s.Key}
}

// cutHotKeys returns a range without the hashes of the hot keys.
func cutHotKeys(s assignment.Slice, hotKeys []assignment.Slice) []assignment.Slice {
	parts := []assignment.Slice{s}
	for i := range hotKeys {
		parts = cutAll(parts, &hotKeys[i])
	}
	return parts
}

// cutAll returns the slices without what lies in the removed one.
func cutAll(list []assignment.Slice, removed *assignment.Slice) []assignment.Slice {
	if !slices.ContainsFunc(list, func(s assignment.Slice) bool { return overlap(&s, removed) }) {
		return list
	}
	var rest []assignment.Slice
	for i := range list {
		rest = append(rest, cut(list[i], removed)...)
	}
	return rest
}

// overlap reports whether two slices share keys. A hot key counts as the one
// hash of the key; two hot keys share nothing unless they are the same.
func overlap(a, b *assignment.Slice) bool {
	if a.Key != "" && b.Key != "" {
		return a.Key == b.Key
	}
	return a.First <= b.Last && b.First <= a.Last
}

// cut returns a slice without what lies in another.
func cut(s assignment.Slice, removed *assignment.Slice) []assignment.Slice {
	if !overlap(&s, removed) {
		return []assignment.Slice{s}
	}
	if s.Key != "" {
		return nil
	}
	var rest []assignment.Slice
	if s.First < removed.First {
		left := s
		left.Last = removed.First - 1
		rest = append(rest, left)
	}
	if removed.Last < s.Last {
		right := s
		right.First = removed.Last + 1
		rest = append(rest, right)
	}
	return rest
}

// cutPieces returns the pieces without what lies in the removed slice.
func cutPieces(list []piece, removed *assignment.Slice) []piece {
	var rest []piece
	for _, p := range list {
		for _, part := range cut(p.slice, removed) {
			rest = append(rest, piece{part, p.fence})
		}
	}
	return rest
}

// sliceOf converts the slice of a message.
func sliceOf(ref *peerv1.SliceRef) *assignment.Slice {
	return &assignment.Slice{First: ref.GetFirst(), Last: ref.GetLast(), Key: ref.GetKey()}
}

// refOfSlice converts a slice for messages.
func refOfSlice(cell string, s *assignment.Slice) *peerv1.SliceRef {
	return &peerv1.SliceRef{Cell: cell, First: s.First, Last: s.Last, Key: s.Key}
}

// shows reports whether the record has caught up with a release: every part of
// the slice has a fence of at least the next owner's. The controller changes
// the fence of a slice only by writing an accepted release into the record.
func (r *recordView) shows(release *peerv1.Release) bool {
	if release.Barred {
		return false
	}
	version, ok := r.cells[release.Slice.GetCell()]
	if !ok {
		return false
	}
	slice := sliceOf(release.Slice)
	for _, s := range version.cell.HotKeys {
		if overlap(&s, slice) {
			if s.Fence < release.NextFence {
				return false
			}
			if slice.Key != "" {
				return true
			}
		}
	}
	for _, s := range version.cell.Slices {
		if overlap(&s, slice) && s.Fence < release.NextFence {
			return false
		}
	}
	return true
}

// recorded returns the slice of the record that contains a piece, or nil.
func (r *recordView) recorded(cellID string, s *assignment.Slice) *assignment.Slice {
	version, ok := r.cells[cellID]
	if !ok {
		return nil
	}
	return version.cell.Find(s.Key, s.First)
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

func sortedRefs[V any](m map[targetEpoch]V) []targetEpoch {
	return slices.SortedFunc(maps.Keys(m), func(a, b targetEpoch) int {
		return cmp.Or(cmp.Compare(a.target, b.target), cmp.Compare(a.epoch, b.epoch))
	})
}
