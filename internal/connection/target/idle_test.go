package target_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
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
	reader := bufio.NewReader(socket)
	var answered time.Time
	for ; ; answered = time.Now() {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !answered.IsZero() && time.Since(answered) > limit {
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
