//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// beatInterval is the time between two reports of a server to the store.
	beatInterval = 870 * time.Millisecond
	// drainBound is the time after the acknowledgement of "draining" from which on a server gets
	// no requests.
	drainBound = 2 * time.Second
	// contact is the time after a disruption of the store after which it is stable again.
	contact = 3 * time.Second
	// lateBy is how long after it was sent the unanswered report is carried out: the pages allow
	// 1 to 6 s.
	lateBy = 5700 * time.Millisecond
	// servesOn is how long the server serves after the acknowledgement: drainBound and a little
	// longer. What it works on then is cut, as its process ends.
	servesOn = 3200 * time.Millisecond
	// bookingWork is how long a booking takes.
	bookingWork = 450 * time.Millisecond
	// bookingClients send one booking after the other, each after a pause.
	bookingClients = 10
	bookingPause   = 60 * time.Millisecond
)

// beater is a server that reports to the store.
type beater struct {
	*server
	draining atomic.Bool
	sequence atomic.Int64
	born     int64
	// drain is closed when the server is to leave, acknowledged once the store has taken its report
	// of that, ended when the process ends.
	drain, acknowledged, ended chan struct{}

	mu       sync.Mutex
	arrivals map[string]time.Time
	conns    []net.Conn
}

// report writes the server's state to the store, which acknowledges it.
func (b *beater) report() int64 {
	n := b.sequence.Add(1)
	b.write(n, b.state())
	return n
}

func (b *beater) state() string {
	if b.draining.Load() {
		return "draining"
	}
	return "in_service"
}

func (b *beater) write(sequence int64, state string) {
	b.site.store.Set("servers", b.id, map[string]any{
		"address": b.listener.Addr().String(), "born": b.born,
		"info": map[string]any{"service": b.service, "version": "v1", "zone": "a", "maxConcurrency": 4},
	}, map[string]any{"state": state, "sequence": sequence, "warmupLeft": "0ms"})
}

// beats reports at each interval, and at once when the server begins to drain, until the process
// ends.
func (b *beater) beats() {
	drain := b.drain
	for {
		select {
		case <-b.ended:
			return
		case <-drain:
			drain = nil
			b.draining.Store(true)
			n := b.report()
			b.site.note("store: acknowledges that %s is draining, sequence %d", b.id, n)
			close(b.acknowledged)
		case <-time.After(beatInterval):
			b.report()
		}
	}
}

// playBeat drains a server shortly after the store has left one of its reports unanswered, which
// the store carries out late.
func playBeat(s *site, trouble bool) (int, error) {
	s.configure([]route{{"/bookings/", "non_idempotent", "desk", time.Second, 2500 * time.Millisecond}}, map[string]bool{"desk": false})
	var beaters []*beater
	for i := range 3 {
		b := &beater{born: time.Now().UnixMilli(), drain: make(chan struct{}), acknowledged: make(chan struct{}), ended: make(chan struct{}), arrivals: map[string]time.Time{}}
		v, err := s.startServer(fmt.Sprintf("i-desk%d", i+1), "desk", 4, func(*server) func(net.Conn, *http.Request) bool { return b.book })
		if err != nil {
			return couldNot, err
		}
		b.server = v
		b.report()
		go b.beats()
		beaters = append(beaters, b)
	}
	for range 3 {
		if _, err := s.startDaemon(); err != nil {
			return couldNot, err
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(2 * time.Second)

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var clients sync.WaitGroup
	var paused atomic.Bool
	var cut atomic.Int64
	for i := range bookingClients {
		clients.Go(func() { s.sendBookings(ctx, s.daemons[i%len(s.daemons)].front, &paused, &cut) })
	}
	time.Sleep(2 * time.Second)
	leaver := beaters[0]
	n := leaver.sequence.Add(1)
	if trouble {
		s.note("store: a report of %s, in_service, sequence %d, gets no answer", leaver.id, n)
		time.AfterFunc(lateBy, func() {
			leaver.write(n, "in_service")
			s.note("store: carries out the report of %s, in_service, sequence %d", leaver.id, n)
		})
	} else {
		leaver.write(n, "in_service")
	}
	// No client has a request under way as the server begins to drain, so that it does not say in
	// an answer that it leaves.
	time.Sleep(contact - 500*time.Millisecond)
	paused.Store(true)
	time.Sleep(550 * time.Millisecond)
	close(leaver.drain)
	<-leaver.acknowledged
	acknowledged := time.Now()
	time.Sleep(time.Second)
	paused.Store(false)
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	leaver.end()
	s.note("server %s has ended", leaver.id)
	s.store.Remove("servers", leaver.id)
	time.Sleep(time.Second)
	stop()
	clients.Wait()

	late := 0
	leaver.mu.Lock()
	defer leaver.mu.Unlock()
	for attempt, at := range leaver.arrivals {
		if at.After(acknowledged.Add(drainBound)) {
			late++
			_, done := leaver.ran(attempt)
			s.note("late: %s reached %s %s after the acknowledgement, answered %t", attempt, leaver.id, at.Sub(acknowledged), !done.IsZero())
		}
	}
	s.note("%d requests reached the leaving server later than %s after the acknowledgement; %d bookings got a 502 or no answer", late, drainBound, cut.Load())
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// book runs a booking.
func (b *beater) book(conn net.Conn, r *http.Request) bool {
	attempt := r.Header.Get("Attempt-Id")
	b.mu.Lock()
	b.arrivals[attempt] = time.Now()
	b.conns = append(b.conns, conn)
	b.mu.Unlock()
	select {
	case <-time.After(bookingWork):
	case <-b.ended:
		return false
	}
	text := head(attempt, itemBytes)
	if b.draining.Load() {
		text = text[:len(text)-2] + "Server-Leaving: 1\r\n\r\n"
	}
	_, err := io.WriteString(conn, text+body(attempt, itemBytes))
	return err == nil
}

// end ends the server's process.
func (b *beater) end() {
	close(b.ended)
	b.close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, conn := range b.conns {
		_ = conn.Close()
	}
}

// sendBookings sends bookings on a kept connection.
func (s *site) sendBookings(ctx context.Context, front string, paused *atomic.Bool, cut *atomic.Int64) {
	var c *client
	for ; ctx.Err() == nil; time.Sleep(bookingPause) {
		if paused.Load() {
			continue
		}
		if c == nil {
			var err error
			if c, err = connect(front); err != nil {
				continue
			}
		}
		attempt := newAttempt()
		_, err := io.WriteString(c.conn, post("/bookings/one", attempt, 2500*time.Millisecond))
		status, whole := 0, false
		if err == nil {
			status, whole, err = c.answer(attempt, itemBytes)
		}
		if !whole {
			s.note("client: %s answered %d, error %v", attempt, status, err)
		}
		if err != nil || status == http.StatusBadGateway {
			cut.Add(1)
		}
		if err != nil {
			c.close()
			c = nil
		}
	}
}
