package keyspace

import "container/heap"

// ranking is a heap of owners whose order changes with every move. It finds the
// first of many owners without comparing all of them.
type ranking struct{ ownerHeap }

// add inserts an owner.
func (r *ranking) add(s *ownerState) { heap.Push(&r.ownerHeap, s) }

// update restores the order after an owner's utilisation has changed. An owner that
// is not ranked is ignored.
func (r *ranking) update(s *ownerState) {
	if i := *r.index(s); i >= 0 {
		heap.Fix(&r.ownerHeap, i)
	}
}

// remove takes an owner out of the ranking.
func (r *ranking) remove(s *ownerState) { heap.Remove(&r.ownerHeap, *r.index(s)) }

// first returns the first owner except the given one; nil if there is none.
func (r *ranking) first(except *ownerState) *ownerState {
	var found *ownerState
	// The first owner is the root; if that is excluded, it is one of its children.
	for i := 0; i < min(3, len(r.owners)); i++ {
		if s := r.owners[i]; s != except && (found == nil || r.before(s, found)) {
			found = s
		}
	}
	return found
}

// ownerHeap implements heap.Interface.
type ownerHeap struct {
	owners []*ownerState
	before func(a, b *ownerState) bool
	// index returns where an owner's index in owners is kept; the index is -1 if the
	// owner is not ranked.
	index func(*ownerState) *int
}

func (o *ownerHeap) Len() int { return len(o.owners) }

func (o *ownerHeap) Less(i, j int) bool { return o.before(o.owners[i], o.owners[j]) }

func (o *ownerHeap) Swap(i, j int) {
	o.owners[i], o.owners[j] = o.owners[j], o.owners[i]
	*o.index(o.owners[i]), *o.index(o.owners[j]) = i, j
}

func (o *ownerHeap) Push(x any) {
	s := x.(*ownerState)
	*o.index(s) = len(o.owners)
	o.owners = append(o.owners, s)
}

func (o *ownerHeap) Pop() any {
	last := len(o.owners) - 1
	s := o.owners[last]
	o.owners = o.owners[:last]
	*o.index(s) = -1
	return s
}
