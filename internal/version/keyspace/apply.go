package keyspace

import (
	"slices"
	"sort"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// Apply returns the slices after moves; current is left unchanged. Each moved
// range gets its own fence from nextFence, which must return a fence higher than
// any issued before.
func Apply(current []fleet.Slice, moves []Move, nextFence func() uint64) []fleet.Slice {
	current = slices.Clone(current)
	for _, m := range moves {
		switch s := wholeSlice(current, m); {
		case m.Joins:
			current = joinSlices(current, m, nextFence())
		case s != nil:
			assign(s, m.To, nextFence())
		default:
			current = assignRange(current, m, nextFence())
		}
	}
	return current
}

// wholeSlice returns the slice whose range is that of the move, or nil.
func wholeSlice(current []fleet.Slice, m Move) *fleet.Slice {
	if s := fleet.Find(current, m.First); s != nil && s.First == m.First && s.Last == m.Last {
		return s
	}
	return nil
}

// assign makes a target the owner of a slice. Unless it owns the slice already, the
// former owner has to release the slice first.
func assign(s *fleet.Slice, to fleet.Life, fence uint64) {
	if s.Owner != to {
		s.FormerOwners = withLife(s.FormerOwners, s.Owner)
	}
	s.Owner, s.Fence, s.Ready = to, fence, false
}

// assignRange assigns the range of a move, splitting the slices that it overlaps in
// part.
func assignRange(current []fleet.Slice, m Move, fence uint64) []fleet.Slice {
	var result []fleet.Slice
	placed := false
	for _, s := range current {
		if s.Last < m.First || s.First > m.Last {
			result = append(result, s)
			continue
		}
		if s.First < m.First {
			head := s
			head.Last = m.First - 1
			result = append(result, head)
		}
		part := s
		part.First, part.Last = max(s.First, m.First), min(s.Last, m.Last)
		assign(&part, m.To, fence)
		result = append(result, part)
		placed = true
		if s.Last > m.Last {
			tail := s
			tail.First = m.Last + 1
			result = append(result, tail)
		}
	}
	if !placed {
		result = append(result, fleet.Slice{First: m.First, Last: m.Last, Owner: m.To, Fence: fence})
		sort.Slice(result, func(i, j int) bool { return result[i].First < result[j].First })
	}
	return result
}

// withLife returns a copy of lives that contains life once.
func withLife(lives []fleet.Life, life fleet.Life) []fleet.Life {
	result := append([]fleet.Life(nil), lives...)
	if slices.Contains(result, life) {
		return result
	}
	return append(result, life)
}

// joinSlices replaces the slices of a range by a single one. It changes nothing
// unless the owner named by the move holds them all and none is still moving.
func joinSlices(current []fleet.Slice, m Move, fence uint64) []fleet.Slice {
	first := slices.IndexFunc(current, func(s fleet.Slice) bool { return s.First == m.First })
	last := slices.IndexFunc(current, func(s fleet.Slice) bool { return s.Last == m.Last })
	if first < 0 || last < first {
		return current
	}
	unjoinable := func(s fleet.Slice) bool { return s.Owner != m.To || len(s.FormerOwners) > 0 || !s.Ready }
	if slices.ContainsFunc(current[first:last+1], unjoinable) {
		return current
	}
	joined := fleet.Slice{First: m.First, Last: m.Last, Owner: m.To, Fence: fence, Ready: true}
	return slices.Concat(current[:first], []fleet.Slice{joined}, current[last+1:])
}
