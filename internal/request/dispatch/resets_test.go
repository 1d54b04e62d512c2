package dispatch_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/faketarget"
)

// cutter forwards connections to a target and resets one of them at a chosen
// byte of the request or of the answer.
type cutter struct {
	listener net.Listener
	address  string
	mu       sync.Mutex
	// requestBytes and answerBytes are what is still forwarded before the
	// reset; negative means no reset on that side.
	requestBytes int
	answerBytes  int
	// only, if set, begins the request that is cut, and chosen is the connection that
	// it has come on. Probes of other connections go on beside it.
	only    string
	chosen  net.Conn
	sockets []net.Conn
	done    sync.WaitGroup
}

// never disables the reset on one side of a cutter.
const never = -1

func newCutter(t *testing.T, address string) *cutter {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := &cutter{listener: listener, address: address, requestBytes: never, answerBytes: never}
	c.done.Add(1)
	go c.accept()
	t.Cleanup(c.close)
	return c
}

func (c *cutter) accept() {
	defer c.done.Done()
	for {
		caller, err := c.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", c.address)
		if err != nil {
			_ = caller.Close()
			continue
		}
		c.mu.Lock()
		c.sockets = append(c.sockets, caller, server)
		c.mu.Unlock()
		c.done.Add(2)
		go c.forward(caller, caller, server, &c.requestBytes)
		go c.forward(caller, server, caller, &c.answerBytes)
	}
}

// arm sets where the next bytes are cut.
func (c *cutter) arm(requestBytes, answerBytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestBytes, c.answerBytes = requestBytes, answerBytes
}

// armOnly sets where the next request that begins so, or its answer, is cut.
func (c *cutter) armOnly(only string, requestBytes, answerBytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.only, c.requestBytes, c.answerBytes = only, requestBytes, answerBytes
}

// forward copies bytes of a caller's connection until the allowance is used up, then
// resets both sides.
func (c *cutter) forward(caller, from, to net.Conn, allowance *int) {
	defer c.done.Done()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		c.choose(caller, from, buffer[:n])
		pass, cut := c.take(caller, allowance, n)
		_, _ = to.Write(buffer[:pass])
		if cut {
			// Let what was passed be read before the reset discards it.
			time.Sleep(20 * time.Millisecond)
			reset(from)
			reset(to)
			return
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

// choose notes the connection of the request that is to be cut.
func (c *cutter) choose(caller, from net.Conn, text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.chosen == nil && c.only != "" && from == caller && bytes.HasPrefix(text, []byte(c.only)) {
		c.chosen = caller
	}
}

// take returns how many of n bytes pass and whether the connection is cut then.
func (c *cutter) take(caller net.Conn, allowance *int, n int) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if *allowance == never || n == 0 || c.only != "" && c.chosen != caller {
		return n, false
	}
	if n <= *allowance && *allowance > 0 {
		*allowance -= n
		return n, *allowance == 0 && c.disarm(allowance)
	}
	pass := *allowance
	return pass, c.disarm(allowance)
}

func (c *cutter) disarm(allowance *int) bool {
	*allowance = never
	return true
}

func reset(socket net.Conn) {
	_ = socket.(*net.TCPConn).SetLinger(0)
	_ = socket.Close()
}

func (c *cutter) close() {
	_ = c.listener.Close()
	c.mu.Lock()
	for _, socket := range c.sockets {
		_ = socket.Close()
	}
	c.mu.Unlock()
	c.done.Wait()
}

// The connection to the target is reset at every class of byte position. What
// the caller learns has to agree with the target's own record each time.
func TestOutcomesAreHonestUnderResetsAtEveryBytePosition(t *testing.T) {
	const bodyBytes = 20000
	for _, test := range []struct {
		name         string
		requestBytes int
		answerBytes  int
		// ran is what the target must have done; -1 leaves it open.
		ran int
	}{
		{"before the head", 0, never, 0},
		{"in the head", 40, never, 0},
		{"in the body", 12000, never, -1},
		{"before the answer", never, 0, 1},
		{"in the answer's head", never, 30, 1},
		{"in the answer's body", never, 9000, 1},
	} {
		for _, streamed := range []bool{false, true} {
			name := test.name
			if streamed {
				name += ", streamed"
			}
			t.Run(name, func(t *testing.T) {
				server := listenTarget(t, faketarget.Settings{AnswerBytes: 16000})
				if streamed {
					server.Change(func(s *faketarget.Settings) { s.AnswerBytes, s.Chunked = 200000, true })
				}
				proxy := newCutter(t, server.Address())
				f := newFixture(t, proxy.listener.Addr().String(), nil)
				f.warm(4)
				proxy.armOnly(http.MethodPost+" ", test.requestBytes, test.answerBytes)
				payload := []byte(strings.Repeat("b", bodyBytes))
				request := f.request(func(r *peerv1.Request) {
					r.Body, r.ContentLength, r.BodyFollows = payload, bodyBytes, streamed
				})
				got := serveBy(context.Background(), f.dispatcher, request, bytes.NewReader(payload))
				record := server.Record()
				checkHonest(t, request, got, record)
				assert.Assert(t, !got.answeredWhole(), "a reset connection cannot bring a whole answer")
				assert.Assert(t, got.kind() != outcome.NotRun, "a byte was sent")
				if test.ran >= 0 {
					assert.Equal(t, record.CountByRequest()[request.RequestId], test.ran)
				}
				next, got := f.reach()
				assert.Assert(t, got.answeredWhole(), "%s %v", got.Reason, got.broken)
				checkHonest(t, next, got, server.Record())
			})
		}
	}
}

// Resets hit random requests under load; nothing runs twice and nothing that
// ran is called not run.
func TestOutcomesAreHonestUnderRepeatedResets(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{ServiceMillis: 1})
	proxy := newCutter(t, server.Address())
	f := newFixture(t, proxy.listener.Addr().String(), nil)
	type exchange struct {
		request *peerv1.Request
		got     *reply
	}
	var mu sync.Mutex
	var history []exchange
	var callers sync.WaitGroup
	for range 8 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for range 60 {
				request := f.request(nil)
				got := f.serve(request)
				mu.Lock()
				history = append(history, exchange{request, got})
				mu.Unlock()
			}
		}()
	}
	stop := make(chan struct{})
	var resets sync.WaitGroup
	resets.Add(1)
	go func() {
		defer resets.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			switch i % 4 {
			case 0:
				proxy.arm(i%300, never)
			case 1:
				proxy.arm(never, i%200)
			case 2:
				proxy.arm(0, never)
			case 3:
				proxy.arm(never, 0)
			}
		}
	}()
	callers.Wait()
	close(stop)
	resets.Wait()
	record := server.Record()
	kinds := map[outcome.Kind]int{}
	for _, e := range history {
		checkHonest(t, e.request, e.got, record)
		kinds[e.got.kind()]++
	}
	assert.Assert(t, kinds[outcome.Answered] > 0 && kinds[outcome.Unknown] > 0, "%v", kinds)
}
