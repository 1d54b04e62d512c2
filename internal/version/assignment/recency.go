package assignment

// Recency orders what is known of who serves a key: a higher fence names a later owner
// and, at one fence, a higher epoch a later dispatcher of that owner.
type Recency struct{ Fence, Epoch uint64 }

// Before reports whether the other knowledge is newer.
func (r Recency) Before(other Recency) bool {
	return r.Fence < other.Fence || r.Fence == other.Fence && r.Epoch < other.Epoch
}
