// Package assignment defines who owns what: for each cell of targets, the
// slices of its key space and the dispatchers of its targets.
//
// A Cell is the value of one object of the platform's store and is changed
// only by conditional writes. It also says beforehand what may happen without
// the store: every slice names its next owner with the fence reserved for it,
// every target its backup and its witness.
package assignment

import (
	"encoding/json"
	"fmt"
	"math"
	"math/bits"
	"sort"

	"github.com/zeebo/xxh3"
)

// ObjectPrefix is the prefix of the store objects that hold cells.
const ObjectPrefix = "cells/"

// CellID names a cell as "<service>/<number>".
func CellID(service string, number int) string { return fmt.Sprintf("%s/%d", service, number) }

// ObjectName returns the name of the store object of a cell.
func ObjectName(cellID string) string { return ObjectPrefix + cellID }

// HashKey returns the position of a key in the key space.
func HashKey(key string) uint64 { return xxh3.HashString(key) }

// Cell is the assignment of one cell.
//
// Invariants, checked by Validate: the range slices cover the cell's part of
// the key space without gap or overlap, sorted by First; fences only rise from
// one version of the object to the next; NextFence is above every fence ever
// written for the slice.
type Cell struct {
	ID string `json:"id"`
	// OperationID identifies the write that produced this value, so that the
	// writer can recognise its own write after a lost answer.
	OperationID string `json:"operationId"`
	// First and Last bound the cell's part of the key space, both inclusive.
	First uint64 `json:"first,string"`
	Last  uint64 `json:"last,string"`
	// Slices holds the hash ranges, sorted by First.
	Slices []Slice `json:"slices"`
	// HotKeys holds the slices of single keys, sorted by Key. A hot key takes
	// precedence over the range that contains its hash.
	HotKeys []Slice `json:"hotKeys,omitempty"`
	// RetiredEpoch is the highest epoch of a target that was removed. Epochs of a
	// target rise also when it is removed and declared again.
	RetiredEpoch uint64 `json:"retiredEpoch,omitempty"`
	// Targets holds the dispatch rights, sorted by Target.
	Targets []Rights `json:"targets"`
}

// Slice is a part of the key space with one owner.
type Slice struct {
	// First and Last bound the hash range, both inclusive. For a hot key both
	// are the key's hash.
	First uint64 `json:"first,string"`
	Last  uint64 `json:"last,string"`
	// Key is set for the slice of a single hot key.
	Key string `json:"key,omitempty"`
	// Owner is the target that owns the slice, at Fence.
	Owner string `json:"owner"`
	Fence uint64 `json:"fence"`
	// Next is the target that owns the slice after Owner, at NextFence: the
	// successor on a loss or, when Moving, the destination of a planned move.
	Next      string `json:"next"`
	NextFence uint64 `json:"nextFence"`
	// Moving asks the owner's dispatcher to release the slice now.
	Moving bool `json:"moving,omitempty"`
}

// Rights says who may dispatch to a target.
type Rights struct {
	Target string `json:"target"`
	// Epoch rises with every change of the dispatcher, backup or witness.
	Epoch uint64 `json:"epoch"`
	Partners
	// Previous holds the partners of PreviousEpoch, one of which still has to
	// hand over; nil when the change is complete.
	Previous      *Partners `json:"previous,omitempty"`
	PreviousEpoch uint64    `json:"previousEpoch,omitempty"`
	// RecoveryFence is set when the dispatcher has to begin without a complete
	// handover. It is above every fence ever written into the cell. The
	// dispatcher grants at it what it finds nobody else to hold.
	RecoveryFence uint64 `json:"recoveryFence,omitempty"`
}

// Partners are the three VMs that decide together who dispatches to a target;
// any two of them suffice.
type Partners struct {
	// Dispatcher is the one VM that may send to the target.
	Dispatcher Holder `json:"dispatcher"`
	// Backup renews the dispatcher's lease and takes over when it is lost.
	Backup Holder `json:"backup"`
	// Witness renews the lease while the backup is lost, and has to agree to a
	// takeover.
	Witness Holder `json:"witness"`
}

// Holder is a VM in one incarnation. A daemon that was restarted has lost what
// it had promised, so it holds nothing under its earlier incarnation.
type Holder struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
}

// Contains reports whether a key with the given hash lies in the slice.
func (s *Slice) Contains(key string, hash uint64) bool {
	if s.Key != "" {
		return s.Key == key
	}
	return s.First <= hash && hash <= s.Last
}

// Find returns the slice of a key, or nil if the key lies outside the cell.
func (c *Cell) Find(key string, hash uint64) *Slice {
	if i := sort.Search(len(c.HotKeys), func(i int) bool { return c.HotKeys[i].Key >= key }); i < len(c.HotKeys) && c.HotKeys[i].Key == key {
		return &c.HotKeys[i]
	}
	i := sort.Search(len(c.Slices), func(i int) bool { return c.Slices[i].Last >= hash })
	if i == len(c.Slices) || c.Slices[i].First > hash {
		return nil
	}
	return &c.Slices[i]
}

// RightsOf returns the dispatch rights of a target, or nil.
func (c *Cell) RightsOf(target string) *Rights {
	i := sort.Search(len(c.Targets), func(i int) bool { return c.Targets[i].Target >= target })
	if i == len(c.Targets) || c.Targets[i].Target != target {
		return nil
	}
	return &c.Targets[i]
}

// Clone returns a deep copy, to be changed into the next version.
func (c *Cell) Clone() *Cell {
	next := *c
	next.Slices = append([]Slice(nil), c.Slices...)
	next.HotKeys = append([]Slice(nil), c.HotKeys...)
	next.Targets = append([]Rights(nil), c.Targets...)
	return &next
}

// Encode returns the stored form of the cell.
func (c *Cell) Encode() ([]byte, error) { return json.Marshal(c) }

// Decode reads and validates the stored form of a cell.
func Decode(value []byte) (*Cell, error) {
	cell := &Cell{}
	if err := json.Unmarshal(value, cell); err != nil {
		return nil, err
	}
	if err := cell.Validate(); err != nil {
		return nil, err
	}
	return cell, nil
}

// Validate checks the invariants that hold within one version.
func (c *Cell) Validate() error {
	if len(c.Slices) == 0 {
		return fmt.Errorf("cell %s has no slices", c.ID)
	}
	expected := c.First
	for i := range c.Slices {
		s := &c.Slices[i]
		if s.First != expected || s.Last < s.First || s.Key != "" {
			return fmt.Errorf("cell %s: slice %d starts at %d, expected %d", c.ID, i, s.First, expected)
		}
		expected = s.Last + 1
	}
	if c.Slices[len(c.Slices)-1].Last != c.Last {
		return fmt.Errorf("cell %s: the last slice ends at %d, expected %d", c.ID, expected-1, c.Last)
	}
	for i := range c.HotKeys {
		if c.HotKeys[i].Key == "" || i > 0 && c.HotKeys[i-1].Key >= c.HotKeys[i].Key {
			return fmt.Errorf("cell %s: hot key %d is empty or out of order", c.ID, i)
		}
	}
	for i := range c.Targets {
		if i > 0 && c.Targets[i-1].Target >= c.Targets[i].Target {
			return fmt.Errorf("cell %s: target %d is out of order", c.ID, i)
		}
	}
	for _, slices := range [][]Slice{c.Slices, c.HotKeys} {
		for i := range slices {
			if slices[i].NextFence <= slices[i].Fence {
				return fmt.Errorf("cell %s: slice %d has next fence %d, not above its fence %d", c.ID, i, slices[i].NextFence, slices[i].Fence)
			}
			if c.RightsOf(slices[i].Owner) == nil {
				return fmt.Errorf("cell %s: slice %d is owned by %q, which has no dispatch rights", c.ID, i, slices[i].Owner)
			}
		}
	}
	return nil
}

// CellOf returns the number of the cell that a hash belongs to, of a service
// with the given number of cells.
func CellOf(hash uint64, cells int) int {
	if cells <= 1 {
		return 0
	}
	number, _ := bits.Mul64(hash, uint64(cells))
	return int(number)
}

// CellBounds returns the first and last hash of a cell, both inclusive. It is
// the inverse of CellOf.
func CellBounds(number, cells int) (first, last uint64) {
	if cells <= 1 {
		return 0, math.MaxUint64
	}
	return lowestHash(number, cells), lowestHash(number+1, cells) - 1
}

// lowestHash returns the smallest hash whose cell is number; 0 stands for 2^64
// when number equals cells.
func lowestHash(number, cells int) uint64 {
	if number >= cells || number == 0 {
		return 0
	}
	quotient, remainder := bits.Div64(uint64(number), 0, uint64(cells))
	if remainder > 0 {
		quotient++
	}
	return quotient
}
