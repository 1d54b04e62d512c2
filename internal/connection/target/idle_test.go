package target_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/rawserver"
)

// listenDroppingIdle starts a target that drops connections without notice when they have
// been idle for longer than limit: it resets them once the next request arrives. It
// returns the target's address.
func listenDroppingIdle(t *testing.T, limit time.Duration) string {
	t.Helper()
	return rawserver.Listen(t, func(socket *net.TCPConn) { serveDroppingIdle(socket, limit) })
}

func serveDroppingIdle(socket *net.TCPConn, limit time.Duration) {
	var answered time.Time
	serveUnless(socket, func() bool {
		idle := !answered.IsZero() && time.Since(answered) > limit
		answered = time.Now()
		return idle
	})
}

// serveUnless answers requests, or resets the connection of one for which reset returns
// true.
func serveUnless(socket *net.TCPConn, reset func() bool) {
	reader := bufio.NewReader(socket)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if reset() {
			_ = socket.SetLinger(0)
			return
		}
		_, err = fmt.Fprintf(socket, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
			target.HeaderRequestID, request.Header.Get(target.HeaderRequestID))
		if err != nil {
			return
		}
	}
}

// TestIdleTimeIsLearnt checks that after two dropped connections the pools that share an
// IdleLimit no longer use connections that were idle for as long, so that no more
// requests fail.
func TestIdleTimeIsLearnt(t *testing.T) {
	const dropsAfter, pause = 100 * time.Millisecond, 150 * time.Millisecond
	options := target.DefaultPoolOptions
	options.Probe, options.IdleLimit = false, &target.IdleLimit{}
	first, second := target.NewPoolWithOptions(listenDroppingIdle(t, dropsAfter), 4, options), target.NewPoolWithOptions(listenDroppingIdle(t, dropsAfter), 4, options)
	defer first.Close()
	defer second.Close()
	lost := 0
	for i := range 8 {
		for _, pool := range []*target.Pool{first, second} {
			if _, _, err := exchangeOnce(context.Background(), t, pool, newRequest(fmt.Sprint(i), "", "")); err != nil {
				lost++
			}
		}
		time.Sleep(pause)
	}
	assert.Equal(t, lost, 2, "requests must fail only until the idle limit has been learned")
	// Connections that are not idle are still reused.
	for i := range 10 {
		_, _, err := exchangeOnce(context.Background(), t, first, newRequest(fmt.Sprint("busy", i), "", ""))
		assert.NilError(t, err)
	}
	assert.Assert(t, first.Open() <= 2, "%d connections are open", first.Open())
}

// TestResetsOfAFullTargetTeachNoIdleLimit checks that targets which reset connections while
// they are full, kept and new ones, do not make every later request open a connection.
func TestResetsOfAFullTargetTeachNoIdleLimit(t *testing.T) {
	const pause, rounds = 50 * time.Millisecond, 10
	var full atomic.Bool
	var opened atomic.Int64
	options := target.DefaultPoolOptions
	options.Probe, options.IdleLimit = false, &target.IdleLimit{}
	var pools []*target.Pool
	for range 2 {
		pool := target.NewPoolWithOptions(rawserver.Listen(t, func(socket *net.TCPConn) {
			opened.Add(1)
			serveUnless(socket, full.Load)
		}), 4, options)
		defer pool.Close()
		pools = append(pools, pool)
	}
	send := func(rounds int) (lost int) {
		for i := range rounds {
			for _, pool := range pools {
				if _, _, err := exchangeOnce(context.Background(), t, pool, newRequest(fmt.Sprint(i), "", "")); err != nil {
					lost++
				}
			}
			time.Sleep(pause)
		}
		return lost
	}
	assert.Equal(t, send(2), 0)
	full.Store(true)
	assert.Equal(t, send(3), 6, "all are reset, the first two on connections that were idle")
	full.Store(false)
	before := opened.Load()
	assert.Equal(t, send(rounds), 0)
	assert.Assert(t, opened.Load()-before <= int64(len(pools)), "%d connections for %d requests", opened.Load()-before, rounds*len(pools))
}
