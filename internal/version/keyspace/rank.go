package keyspace

import "container/heap"

// ranking keeps owners in an order that changes with every move. The first of a
// large number is found without looking at all of them.
type ranking struct{ order }

// add ranks an owner.
func (r *ranking) add(s *share) { heap.Push(&r.order, s) }

// changed ranks an owner anew, if it is ranked.
func (r *ranking) changed(s *share) {
	if i := *r.place(s); i >= 0 {
		heap.Fix(&r.order, i)
	}
}

// drop takes an owner out.
func (r *ranking) drop(s *share) { heap.Remove(&r.order, *r.place(s)) }

// first returns the first owner other than one, or nil.
func (r *ranking) first(other *share) *share {
	var found *share
	// Unless it is the other, the first is at 0; otherwise it is right below.
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
	// place is where an owner notes its index in shares; -1 if it is not ranked.
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
