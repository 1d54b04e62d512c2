package peer

import "sync/atomic"

// Stats holds totals since the start of the transport, and the number of open
// sessions.
type Stats struct {
	SessionsOpen int
	// ControlBytesSent and ControlBytesReceived count control messages with
	// their length prefixes, without yamux and TCP headers.
	ControlBytesSent     int64
	ControlBytesReceived int64
	// BytesSent and BytesReceived count all bytes of the sessions, yamux headers
	// included, without the handshake and TLS.
	BytesSent     int64
	BytesReceived int64
	// ControlDropped counts control messages that were never written.
	ControlDropped int64
	// Unmatched counts received responses and replies that belong to no pending
	// request or call.
	Unmatched int64
	// ProbesSent counts the pings that ask whether a peer is alive, one when each session
	// opens included. Suspected counts the probes that were unanswered for too long.
	ProbesSent int64
	Suspected  int64
	// BodiesCut counts bodies that were not sent completely.
	BodiesCut int64
}

// counters holds the totals of Stats.
type counters struct {
	controlBytesSent     atomic.Int64
	controlBytesReceived atomic.Int64
	bytesSent            atomic.Int64
	bytesReceived        atomic.Int64
	controlDropped       atomic.Int64
	unmatched            atomic.Int64
	probesSent           atomic.Int64
	suspected            atomic.Int64
	bodiesCut            atomic.Int64
}

// Stats returns the current totals.
func (t *Transport) Stats() Stats {
	t.mu.Lock()
	open := len(t.sessions)
	t.mu.Unlock()
	return Stats{
		SessionsOpen:         open,
		ControlBytesSent:     t.stats.controlBytesSent.Load(),
		ControlBytesReceived: t.stats.controlBytesReceived.Load(),
		BytesSent:            t.stats.bytesSent.Load(),
		BytesReceived:        t.stats.bytesReceived.Load(),
		ControlDropped:       t.stats.controlDropped.Load(),
		Unmatched:            t.stats.unmatched.Load(),
		ProbesSent:           t.stats.probesSent.Load(),
		Suspected:            t.stats.suspected.Load(),
		BodiesCut:            t.stats.bodiesCut.Load(),
	}
}
