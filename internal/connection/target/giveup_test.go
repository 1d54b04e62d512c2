package target_test

import (
	"cmp"
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
)

// receiveBufferBytes is the size of the receive buffer of a target that does not read, in
// bytes.
const receiveBufferBytes = 4 << 10

// reserveUnprobed reserves the one connection of a pool to a target that answers no probe.
func reserveUnprobed(t *testing.T, listener net.Listener) *target.Exchange {
	options := target.DefaultPoolOptions
	options.Probe = false
	pool := target.NewPoolWithOptions(listener.Addr().String(), 1, options)
	t.Cleanup(pool.Close)
	exchange, err := pool.Reserve(testContext(t))
	assert.NilError(t, err)
	return exchange
}

// TestDeadlineEndsTheExchange checks that an exchange waits for no answer that arrives after
// its deadline. One that has arrived by then is read (TestRunningRequestsOutlastASilence).
func TestDeadlineEndsTheExchange(t *testing.T) {
	const deadline = 300 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	exchange := reserveUnprobed(t, listener)
	ctx, cancel := context.WithTimeout(testContext(t), deadline)
	defer cancel()
	began := time.Now()
	_, err = exchange.Do(ctx, newRequest("x", "", ""), false)
	assert.Assert(t, err != nil && time.Since(began) < testTimeout/2, "after %s: %v", time.Since(began), err)
}

// TestARequestThatWasGivenUpIsNotDeliveredLater simulates a network partition that heals:
// the kernel has accepted the whole request, the target receives only a part of it, and
// the exchange times out. The target must not receive the rest afterwards.
func TestARequestThatWasGivenUpIsNotDeliveredLater(t *testing.T) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
		return cmp.Or(err, failed)
	}}
	listener, err := config.Listen(testContext(t), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	exchange := reserveUnprobed(t, listener)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	defer accepted.Close()

	ctx, giveUp := context.WithTimeout(testContext(t), 200*time.Millisecond)
	defer giveUp()
	body := strings.Repeat("x", 64<<10)
	_, err = exchange.Do(ctx, newRequest("late", "", body), false)
	var failed *target.ExchangeError
	assert.Assert(t, errors.As(err, &failed) && failed.Sent, "the kernel had accepted the request: %v", err)

	assert.NilError(t, accepted.SetReadDeadline(time.Now().Add(testTimeout)))
	received, err := io.ReadAll(accepted)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.Assert(t, len(received) < len(body), "the target received %d bytes, the whole request, after the exchange had timed out", len(received))
}
