package placement

import (
	"sort"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
)

// SliceID names a slice within a cell by its bounds or its hot key.
type SliceID struct {
	First, Last uint64
	Key         string
}

// IDOf returns the identity of a slice.
func IDOf(s *assignment.Slice) SliceID {
	return SliceID{First: s.First, Last: s.Last, Key: s.Key}
}

// overlaps reports whether two slices may share keys. A hot key counts as the
// one hash of the key, which the slices of ranges leave out.
func (id SliceID) overlaps(other SliceID) bool {
	if id.Key != "" && other.Key != "" {
		return id.Key == other.Key
	}
	return id.First <= other.Last && other.First <= id.Last
}

// Lookup returns the slice with the identity, or nil.
func Lookup(cell *assignment.Cell, id SliceID) *assignment.Slice {
	if id.Key != "" {
		i := sort.Search(len(cell.HotKeys), func(i int) bool { return cell.HotKeys[i].Key >= id.Key })
		if i < len(cell.HotKeys) && cell.HotKeys[i].Key == id.Key {
			return &cell.HotKeys[i]
		}
		return nil
	}
	i := sort.Search(len(cell.Slices), func(i int) bool { return cell.Slices[i].First >= id.First })
	if i < len(cell.Slices) && cell.Slices[i].First == id.First && cell.Slices[i].Last == id.Last {
		return &cell.Slices[i]
	}
	return nil
}

// Acceptance reports that the dispatcher of Next accepted a released slice, or
// the released part of one, that Owner held at Fence.
//
// The hash of a key that had a slice of its own when the release was made is
// cut out of the released range, so the bounds alone tell what was released,
// also if the record was split or merged since.
type Acceptance struct {
	Slice     SliceID
	Owner     string
	Fence     uint64
	Next      string
	NextFence uint64
}

// StartMove plans the move of a slice to a destination, under a new fence. The
// owner stays the owner until Accept.
func StartMove(cell *assignment.Cell, id SliceID, destination string) error {
	slice := Lookup(cell, id)
	switch {
	case slice == nil:
		return unknownSlice(cell, id)
	case slice.Moving:
		return fault.New(fault.Refused, "wait until the move has ended", "slice %v of cell %s is already moving", id, cell.ID)
	case slice.Owner == destination:
		return fault.New(fault.Invalid, "choose another destination", "slice %v of cell %s already belongs to %q", id, cell.ID, destination)
	case cell.RightsOf(destination) == nil:
		return unknownTarget(cell, destination)
	}
	reserve(slice, destination)
	slice.Moving = true
	return nil
}

// ChangeNext names another next owner under a new fence. A planned move to the
// former one is withdrawn; if its release was accepted already, Accept still
// follows it.
func ChangeNext(cell *assignment.Cell, id SliceID, next string) error {
	slice := Lookup(cell, id)
	switch {
	case slice == nil:
		return unknownSlice(cell, id)
	case slice.Owner == next:
		return fault.New(fault.Invalid, "choose another next owner", "slice %v of cell %s belongs to %q itself", id, cell.ID, next)
	case next != "" && cell.RightsOf(next) == nil:
		return unknownTarget(cell, next)
	}
	reserve(slice, next)
	slice.Moving = false
	return nil
}

// reserve names the next owner with a fence that was never written before.
func reserve(slice *assignment.Slice, next string) {
	slice.Next = next
	slice.NextFence++
}

// Accept writes an accepted release into the record and reports whether
// anything changed. It is the only transition that changes an owner or a fence.
// Ranges are split where the release covers a part. The new owner has no next
// owner yet; ChangeNext names one. A repeated or outdated acceptance changes
// nothing, since the fence has risen. A release to the owner itself raises the
// fence after a recovery.
func Accept(cell *assignment.Cell, a Acceptance) bool {
	if a.NextFence <= a.Fence || cell.RightsOf(a.Next) == nil {
		return false
	}
	changed := false
	for i := range cell.HotKeys {
		if hot := &cell.HotKeys[i]; a.Slice.overlaps(IDOf(hot)) && a.releases(hot) {
			pass(hot, a)
			changed = true
		}
	}
	if a.Slice.Key != "" && Lookup(cell, a.Slice) != nil {
		return changed
	}
	for i := 0; i < len(cell.Slices); i++ {
		slice := &cell.Slices[i]
		if !a.Slice.overlaps(IDOf(slice)) || !a.releases(slice) {
			continue
		}
		part := releasedPart(cell, slice, a.Slice)
		carve(cell, IDOf(slice), part)
		pass(Lookup(cell, part), a)
		changed = true
	}
	return changed
}

// releases reports whether the release was made of the slice as it stands.
func (a *Acceptance) releases(slice *assignment.Slice) bool {
	return slice.Owner == a.Owner && slice.Fence == a.Fence
}

// pass makes the next owner the owner of a slice at the fence reserved for it.
func pass(slice *assignment.Slice, a Acceptance) {
	slice.Owner, slice.Fence = a.Next, a.NextFence
	slice.Next, slice.NextFence = "", max(slice.NextFence, a.NextFence)+1
	slice.Moving = false
}

// releasedPart returns the part of a range that a release covers. What is left
// of the range beside it joins it if it holds nothing but hashes of hot keys.
func releasedPart(cell *assignment.Cell, slice *assignment.Slice, released SliceID) SliceID {
	part := SliceID{First: max(slice.First, released.First), Last: min(slice.Last, released.Last)}
	if part.First > slice.First && onlyHotKeys(cell, slice.First, part.First-1) {
		part.First = slice.First
	}
	if part.Last < slice.Last && onlyHotKeys(cell, part.Last+1, slice.Last) {
		part.Last = slice.Last
	}
	return part
}

// onlyHotKeys reports whether every hash from first to last is that of a hot key.
func onlyHotKeys(cell *assignment.Cell, first, last uint64) bool {
	size := last - first + 1
	if size == 0 || size > uint64(len(cell.HotKeys)) {
		return false
	}
	found := uint64(0)
	for i := range cell.HotKeys {
		if hash := cell.HotKeys[i].First; first <= hash && hash <= last {
			found++
		}
	}
	return found == size
}

// carve divides a range so that the part becomes a slice of its own.
func carve(cell *assignment.Cell, whole, part SliceID) {
	if part.First > whole.First {
		split(cell, whole, part.First-1)
		whole.First = part.First
	}
	if part.Last < whole.Last {
		split(cell, whole, part.Last)
	}
}

// Split divides a range after the hash `last`. Both parts inherit owner and
// fences.
func Split(cell *assignment.Cell, id SliceID, last uint64) error {
	slice := Lookup(cell, id)
	switch {
	case slice == nil || id.Key != "":
		return unknownSlice(cell, id)
	case slice.Moving:
		return fault.New(fault.Refused, "wait until the move has ended", "slice %v of cell %s is moving", id, cell.ID)
	case last < id.First || last >= id.Last:
		return fault.New(fault.Invalid, "divide it inside its bounds", "hash %d does not divide slice %v", last, id)
	}
	split(cell, id, last)
	return nil
}

func split(cell *assignment.Cell, id SliceID, last uint64) {
	i := sort.Search(len(cell.Slices), func(i int) bool { return cell.Slices[i].First >= id.First })
	cell.Slices = append(cell.Slices, assignment.Slice{})
	copy(cell.Slices[i+1:], cell.Slices[i:])
	cell.Slices[i].Last = last
	cell.Slices[i+1].First = last + 1
}

// Isolate gives a key of a range a slice of its own, with the owner and fences
// of the range.
func Isolate(cell *assignment.Cell, key string) error {
	hash := assignment.HashKey(key)
	slice := cell.Find(key, hash)
	switch {
	case slice == nil:
		return unknownSlice(cell, SliceID{First: hash, Last: hash, Key: key})
	case slice.Key != "":
		return fault.New(fault.Conflict, "leave it as it is", "key %q of cell %s already has a slice of its own", key, cell.ID)
	case slice.Moving:
		return fault.New(fault.Refused, "wait until the move has ended", "the slice of key %q of cell %s is moving", key, cell.ID)
	}
	hot := *slice
	hot.First, hot.Last, hot.Key = hash, hash, key
	i := sort.Search(len(cell.HotKeys), func(i int) bool { return cell.HotKeys[i].Key >= key })
	cell.HotKeys = append(cell.HotKeys, assignment.Slice{})
	copy(cell.HotKeys[i+1:], cell.HotKeys[i:])
	cell.HotKeys[i] = hot
	return nil
}

// Merge joins a range with the one after it. Both must have one owner at one
// fence and no move: a fence that rose without a release would look like a
// release that the record shows.
func Merge(cell *assignment.Cell, id SliceID) error {
	i := sort.Search(len(cell.Slices), func(i int) bool { return cell.Slices[i].First >= id.First })
	if Lookup(cell, id) == nil || id.Key != "" || i+1 >= len(cell.Slices) {
		return unknownSlice(cell, id)
	}
	left, right := &cell.Slices[i], &cell.Slices[i+1]
	if err := mergeable(cell, left, right); err != nil {
		return err
	}
	left.Last = right.Last
	if left.Next == "" || right.Next == "" {
		left.Next = "" // One that is not named yet has to be named for both.
	}
	reserveAbove(left, right)
	cell.Slices = append(cell.Slices[:i+1], cell.Slices[i+2:]...)
	return nil
}

// Absorb returns a hot key to the range that contains it. Both must have one
// owner at one fence and no move.
func Absorb(cell *assignment.Cell, key string) error {
	hash := assignment.HashKey(key)
	hot := Lookup(cell, SliceID{First: hash, Last: hash, Key: key})
	around := cell.Find("", hash)
	if hot == nil || around == nil {
		return unknownSlice(cell, SliceID{First: hash, Last: hash, Key: key})
	}
	if err := mergeable(cell, around, hot); err != nil {
		return err
	}
	reserveAbove(around, hot)
	i := sort.Search(len(cell.HotKeys), func(i int) bool { return cell.HotKeys[i].Key >= key })
	cell.HotKeys = append(cell.HotKeys[:i], cell.HotKeys[i+1:]...)
	return nil
}

func mergeable(cell *assignment.Cell, a, b *assignment.Slice) error {
	if a.Owner != b.Owner || a.Fence != b.Fence || a.Moving || b.Moving {
		return fault.New(fault.Refused, "move them together first", "slices %v and %v of cell %s differ in owner or fence or are moving", IDOf(a), IDOf(b), cell.ID)
	}
	return nil
}

// reserveAbove gives a merged slice a fence for its next owner that was never
// reserved for either part.
func reserveAbove(kept, merged *assignment.Slice) {
	kept.NextFence = max(kept.NextFence, merged.NextFence) + 1
}

// MoveTogether plans the move of a range and of hot keys within it to one
// destination under one fence, so that Absorb can follow.
func MoveTogether(cell *assignment.Cell, id SliceID, keys []SliceID, destination string) error {
	all := append([]SliceID{id}, keys...)
	highest := uint64(0)
	for _, each := range all {
		slice := Lookup(cell, each)
		if slice == nil {
			return unknownSlice(cell, each)
		}
		if slice.Moving || slice.Owner == destination {
			return fault.New(fault.Refused, "choose another destination or wait", "slice %v of cell %s is moving or belongs to %q", each, cell.ID, destination)
		}
		highest = max(highest, slice.NextFence)
	}
	if cell.RightsOf(destination) == nil {
		return unknownTarget(cell, destination)
	}
	for _, each := range all {
		slice := Lookup(cell, each)
		slice.Next, slice.NextFence, slice.Moving = destination, highest+1, true
	}
	return nil
}

// AddTarget gives a target dispatch rights, at an epoch above those of all
// targets that were removed: the same target may have been one of them.
func AddTarget(cell *assignment.Cell, target string, partners assignment.Partners) error {
	if cell.RightsOf(target) != nil {
		return fault.New(fault.Conflict, "change its partners instead", "target %q of cell %s already has dispatch rights", target, cell.ID)
	}
	i := sort.Search(len(cell.Targets), func(i int) bool { return cell.Targets[i].Target >= target })
	cell.Targets = append(cell.Targets, assignment.Rights{})
	copy(cell.Targets[i+1:], cell.Targets[i:])
	cell.Targets[i] = assignment.Rights{Target: target, Epoch: cell.RetiredEpoch + 1, Partners: partners}
	return nil
}

// RemoveTarget removes a target that no slice names any more.
func RemoveTarget(cell *assignment.Cell, target string) error {
	if cell.RightsOf(target) == nil {
		return unknownTarget(cell, target)
	}
	for _, slices := range [][]assignment.Slice{cell.Slices, cell.HotKeys} {
		for i := range slices {
			if slices[i].Owner == target || slices[i].Next == target {
				return fault.New(fault.Refused, "move its slices first", "target %q of cell %s still owns or awaits slice %v", target, cell.ID, IDOf(&slices[i]))
			}
		}
	}
	i := sort.Search(len(cell.Targets), func(i int) bool { return cell.Targets[i].Target >= target })
	cell.RetiredEpoch = max(cell.RetiredEpoch, cell.Targets[i].Epoch)
	cell.Targets = append(cell.Targets[:i], cell.Targets[i+1:]...)
	return nil
}

// ChangePartners names new partners at the next epoch; the present ones hand
// over. It is refused while an earlier handover is not complete.
func ChangePartners(cell *assignment.Cell, target string, partners assignment.Partners) error {
	rights := cell.RightsOf(target)
	if rights == nil {
		return unknownTarget(cell, target)
	}
	if rights.Previous != nil {
		return fault.New(fault.Refused, "wait until the handover is reported", "the partners of target %q at epoch %d have not handed over yet", target, rights.PreviousEpoch)
	}
	previous := rights.Partners
	rights.Previous, rights.PreviousEpoch = &previous, rights.Epoch
	rights.Partners = partners
	rights.Epoch++
	rights.RecoveryFence = unusedFence(cell)
	return nil
}

// unusedFence returns a fence above every one that the cell names.
func unusedFence(cell *assignment.Cell) uint64 {
	highest := uint64(0)
	for _, slices := range [][]assignment.Slice{cell.Slices, cell.HotKeys} {
		for i := range slices {
			highest = max(highest, slices[i].Fence, slices[i].NextFence)
		}
	}
	for i := range cell.Targets {
		highest = max(highest, cell.Targets[i].RecoveryFence)
	}
	return highest + 1
}

// CompleteHandover notes that the dispatcher of the epoch has accepted the
// handover. It reports whether the record changed.
func CompleteHandover(cell *assignment.Cell, target string, epoch uint64, dispatcher assignment.Holder) bool {
	rights := cell.RightsOf(target)
	if rights == nil || rights.Previous == nil || rights.Epoch != epoch || rights.Dispatcher != dispatcher {
		return false
	}
	rights.Previous, rights.PreviousEpoch = nil, 0
	return true
}

// Recover names partners that start without a handover. The caller has made
// sure that two of the three partners who could hand over are gone for good.
func Recover(cell *assignment.Cell, target string, partners assignment.Partners) error {
	rights := cell.RightsOf(target)
	if rights == nil {
		return unknownTarget(cell, target)
	}
	rights.Previous, rights.PreviousEpoch = nil, 0
	rights.Partners = partners
	rights.Epoch++
	rights.RecoveryFence = unusedFence(cell)
	return nil
}

func unknownSlice(cell *assignment.Cell, id SliceID) error {
	return fault.New(fault.NotFound, "plan again from the current record", "cell %s has no slice %v", cell.ID, id)
}

func unknownTarget(cell *assignment.Cell, target string) error {
	return fault.New(fault.NotFound, "add its dispatch rights first", "cell %s has no target %q", cell.ID, target)
}
