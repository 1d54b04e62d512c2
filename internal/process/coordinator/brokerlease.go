package coordinator

import "time"

// brokerLease is how long the brokers of a leader may use the limits that hold for all VMs
// together, those of cold targets and of repeats, after the leadership was last confirmed. It is
// above the age of a confirmation by reports, up to 1 s in a large fleet without the store. It
// is well below leaderLease, since targets have no fences against requests and the next
// leader's brokers have to wait for its end.
const brokerLease = 1200 * time.Millisecond

// brokerState is what the brokers of this VM have to know of the leadership, for readers outside
// the loop.
type brokerState struct {
	// confirmedAt is the uptime at which the leadership was last confirmed. unrivaled is set if
	// there is no other VM that could lead.
	confirmedAt time.Duration
	unrivaled   bool
	// formerLease is how long the brokers of the former leader may have gone on after this
	// leadership began.
	formerLease time.Duration
}

// noteBrokerState records the state of the leadership for the brokers.
func (c *Coordinator) noteBrokerState() {
	c.brokerState.Store(&brokerState{
		confirmedAt: c.leadershipConfirmedAt(), unrivaled: c.lead.otherVoters() == 0, formerLease: c.lead.formerBrokerLease,
	})
}

// SoleBroker reports whether the brokers of this VM are the only ones that decide for all VMs:
// it leads, and the leadership was confirmed within brokerLease. A former leader that has not
// heard of the next one, or was suspended, is not sure of that. It may be called from any
// goroutine.
func (c *Coordinator) SoleBroker() bool {
	s := c.brokerState.Load()
	return s != nil && (s.unrivaled || c.config.Uptime()-s.confirmedAt < brokerLease)
}

// FormerBrokerLease returns how long the brokers of the former leader may have gone on after this
// VM took over; 0 if that leader had asked for it or its process had been replaced. It may be
// called from any goroutine.
func (c *Coordinator) FormerBrokerLease() time.Duration {
	if s := c.brokerState.Load(); s != nil {
		return s.formerLease
	}
	return 0
}
