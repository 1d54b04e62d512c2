package dispatch

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
)

// ticket is one request that may be running at a target.
type ticket struct {
	key      string
	hash     uint64
	deadline time.Time
	// streamed is set if the request's or the answer's body is not held in memory.
	streamed bool
	// sentAt is when the request was handed to the connection, zero before.
	sentAt time.Time
	// takenAt is when the slot was taken.
	takenAt time.Time
}

// inFlight is the set of requests that may be running at a target.
type inFlight struct {
	tickets map[*ticket]struct{}
	// abandoned holds requests whose answer was given up, until they have
	// surely ended: a slice may be passed on only without them.
	abandoned []abandonedRequest
}

type abandonedRequest struct {
	key   string
	hash  uint64
	until time.Time
}

func newInFlight() inFlight { return inFlight{tickets: map[*ticket]struct{}{}} }

// abandon moves a request to those given up.
func (f *inFlight) abandon(t *ticket, until time.Time) {
	delete(f.tickets, t)
	f.abandoned = append(f.abandoned, abandonedRequest{key: t.key, hash: t.hash, until: until})
}

// expire forgets the abandoned requests that have surely ended.
func (f *inFlight) expire(now time.Time) {
	kept := f.abandoned[:0]
	for _, request := range f.abandoned {
		if now.Before(request.until) {
			kept = append(kept, request)
		}
	}
	f.abandoned = kept
}

// count returns the number of requests of a slice that may be running; a nil
// slice means all.
func (f *inFlight) count(slice *assignment.Slice, now time.Time) int {
	count := 0
	for t := range f.tickets {
		if slice == nil || slice.Contains(t.key, t.hash) {
			count++
		}
	}
	for i := range f.abandoned {
		request := &f.abandoned[i]
		if now.Before(request.until) && (slice == nil || slice.Contains(request.key, request.hash)) {
			count++
		}
	}
	return count
}

// longestUnanswered returns how long the oldest small request has been waiting
// for its answer.
func (f *inFlight) longestUnanswered(now time.Time) time.Duration {
	longest := time.Duration(0)
	for t := range f.tickets {
		if !t.streamed && !t.sentAt.IsZero() {
			longest = max(longest, now.Sub(t.sentAt))
		}
	}
	return longest
}
