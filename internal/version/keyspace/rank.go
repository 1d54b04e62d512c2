package keyspace

import "container/heap"

// ranking is a heap of owners whose order changes with every move. It finds the
// first of many owners without comparing all of them.
type ranking struct{ order }

// add inserts an owner.
func (r *ranking) add(s *share) { heap.Push(&r.order, s) }

// changed restores the order after the utilisation of an owner has changed. An
// owner that is not ranked is ignored.
func (r *ranking) changed(s *share) {
	if i := *r.place(s); i >= 0 {
		heap.Fix(&r.order, i)
	}
}

// drop removes an owner.
func (r *ranking) drop(s *share) { heap.Remove(&r.order, *r.place(s)) }

// first returns the first owner except the given one; nil if there is none.
func (r *ranking) first(other *share) *share {
	var found *share
	// The first owner is the root; if that is excluded, it is one of its children.
	for i := 0; i < min(3, len(r.shares)); i++ {
		if s := r.shares[i]; s != other && (found == nil || r.before(s, found)) {
			found = s
		}
	}
	return found
}

// order implements heap.Interface.
type order struct {
	shares []*share
	before func(a, b *share) bool
	// place returns where an owner's index in shares is kept; the index is -1 if the
	// owner is not ranked.
	place func(*share) *int
}

func (o *order) Len() int { return len(o.shares) }

func (o *order) Less(i, j int) bool { return o.before(o.shares[i], o.shares[j]) }

func (o *order) Swap(i, j int) {
	o.shares[i], o.shares[j] = o.shares[j], o.shares[i]
	*o.place(o.shares[i]), *o.place(o.shares[j]) = i, j
}

func (o *order) Push(x any) {
	s := x.(*share)
	*o.place(s) = len(o.shares)
	o.shares = append(o.shares, s)
}

func (o *order) Pop() any {
	last := len(o.shares) - 1
	s := o.shares[last]
	o.shares = o.shares[:last]
	*o.place(s) = -1
	return s
}
