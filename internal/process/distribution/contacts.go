package distribution

import (
	"time"
)

const (
	// silenceRetry is how long a silent VM is passed over before it is asked again.
	silenceRetry = 5 * time.Second
	// answerWindow is how long an answer counts as proof that a peer is reachable.
	answerWindow = 4 * time.Second
)

// contacts is what the node knows of its reach: to the store, along the chain
// of peers, and to the peers themselves.
type contacts struct {
	// store is the latest time at which the store is known to have answered.
	store time.Time
	// answered holds the peers that answered within answerWindow.
	answered map[string]time.Time
	// silent holds the peers that failed to answer, with the last attempt.
	silent map[string]silence
}

// silence is a run of failed attempts.
type silence struct {
	since, tried time.Time
}

func newContacts() contacts {
	return contacts{answered: map[string]time.Time{}, silent: map[string]silence{}}
}

// storeAnswered records a contact with the store and reports by how much it is
// later than what was known.
func (c *contacts) storeAnswered(at time.Time) time.Duration {
	if !at.After(c.store) {
		return 0
	}
	gain := at.Sub(c.store)
	c.store = at
	return gain
}

// heard records any message of a peer. It ends a silence but does not prove
// that the peer can be reached.
func (c *contacts) heard(vm string) { delete(c.silent, vm) }

// reached records an answer of a peer to a call.
func (c *contacts) reached(vm string, now time.Time) {
	c.heard(vm)
	c.answered[vm] = now
}

// failed records a call that a peer did not answer.
func (c *contacts) failed(vm string, now time.Time) {
	known, ok := c.silent[vm]
	if !ok {
		known.since = now
	}
	known.tried = now
	c.silent[vm] = known
	delete(c.answered, vm)
}

// isSilent reports whether the last call to the peer failed.
func (c *contacts) isSilent(vm string) bool {
	_, silent := c.silent[vm]
	return silent
}

// passOver reports whether a peer is silent and was asked a short time ago.
func (c *contacts) passOver(vm string, now time.Time) bool {
	known, silent := c.silent[vm]
	return silent && now.Sub(known.tried) < silenceRetry
}

// prune forgets answers that prove nothing any more, and VMs that are gone.
func (c *contacts) prune(now time.Time, exists func(vm string) bool) {
	for vm, at := range c.answered {
		if now.Sub(at) > answerWindow {
			delete(c.answered, vm)
		}
	}
	for vm := range c.silent {
		if !exists(vm) {
			delete(c.silent, vm)
		}
	}
}
