package keyspace

// ranking keeps owners in an order that changes with every move. The first of a
// large number is found without looking at all of them.
type ranking struct {
	shares []*share
	before func(a, b *share) bool
	// place is where an owner notes its index in shares; -1 if it is not ranked.
	place func(*share) *int
}

// add ranks an owner.
func (r *ranking) add(s *share) {
	*r.place(s) = len(r.shares)
	r.shares = append(r.shares, s)
	r.up(len(r.shares) - 1)
}

// changed ranks an owner anew, if it is ranked.
func (r *ranking) changed(s *share) {
	if i := *r.place(s); i >= 0 {
		r.up(i)
		r.down(*r.place(s))
	}
}

// drop takes an owner out.
func (r *ranking) drop(s *share) {
	i, last := *r.place(s), len(r.shares)-1
	r.swap(i, last)
	r.shares = r.shares[:last]
	*r.place(s) = -1
	if i < last {
		r.changed(r.shares[i])
	}
}

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

func (r *ranking) up(i int) {
	for i > 0 && r.before(r.shares[i], r.shares[(i-1)/2]) {
		r.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (r *ranking) down(i int) {
	for {
		next := 2*i + 1
		if next >= len(r.shares) {
			return
		}
		if next+1 < len(r.shares) && r.before(r.shares[next+1], r.shares[next]) {
			next++
		}
		if !r.before(r.shares[next], r.shares[i]) {
			return
		}
		r.swap(i, next)
		i = next
	}
}

func (r *ranking) swap(i, j int) {
	r.shares[i], r.shares[j] = r.shares[j], r.shares[i]
	*r.place(r.shares[i]), *r.place(r.shares[j]) = i, j
}
