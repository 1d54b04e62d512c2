package dispatch

import "time"

// slots counts the requests that occupy a target. The count is exact: a slot
// is taken before the first byte of a request is sent and freed after the last
// byte of its answer, or, if the answer was given up, after the time that the
// target needs to notice.
type slots struct {
	// declared is the number of slots in the manifest.
	declared int
	taken    int
	// inherited is the count of requests that a former dispatcher still has in
	// flight, until inheritedUntil.
	inherited      int
	inheritedUntil time.Time
	// lingering holds the ends of slots whose requests were given up.
	lingering []time.Time
}

// occupied returns the number of slots that may be in use at the target.
func (s *slots) occupied() int { return s.taken + s.inherited }

// available reports whether one more request may start under the limit.
func (s *slots) available(limit int) bool { return s.occupied() < min(limit, s.declared) }

// exceeded reports whether more requests occupy the target than the limit allows.
func (s *slots) exceeded(limit int) bool { return s.occupied() > min(limit, s.declared) }

// linger keeps a taken slot until the given time.
func (s *slots) linger(until time.Time) { s.lingering = append(s.lingering, until) }

// inherit sets the number of requests in flight elsewhere.
func (s *slots) inherit(count int, until time.Time) {
	s.inherited, s.inheritedUntil = count, until
}

// expire frees what has run out and reports whether anything was freed.
func (s *slots) expire(now time.Time) bool {
	before := s.occupied()
	kept := s.lingering[:0]
	for _, until := range s.lingering {
		if now.Before(until) {
			kept = append(kept, until)
		} else {
			s.taken--
		}
	}
	s.lingering = kept
	if s.inherited > 0 && !now.Before(s.inheritedUntil) {
		s.inherited = 0
	}
	return s.occupied() < before
}
