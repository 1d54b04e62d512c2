package target_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
)

// answerTimeout is the timeout for grants that must be answered.
const answerTimeout = 10 * time.Second

// grantTarget is a target process that accepts grants and counts them and its connections.
type grantTarget struct {
	server              *httptest.Server
	grants, connections atomic.Int64
	// unanswered is how many of the next grants are not answered.
	unanswered atomic.Int64
	// closes makes the target close each connection after an answer.
	closes atomic.Bool
}

func newGrantTarget(t *testing.T) *grantTarget {
	g := &grantTarget{}
	g.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The server notices the end of the connection only after the whole request has
		// been read.
		_, _ = io.Copy(io.Discard, r.Body)
		g.grants.Add(1)
		if g.unanswered.Add(-1) >= 0 {
			<-r.Context().Done()
		}
		if g.closes.Load() {
			w.Header().Set("Connection", "close")
		}
	}))
	g.server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			g.connections.Add(1)
		}
	}
	g.server.Start()
	t.Cleanup(g.server.Close)
	return g
}

func (g *grantTarget) address() string { return g.server.Listener.Addr().String() }

// grant sends a grant or renewal of a fence with a timeout.
func grant(t *testing.T, pool *target.GrantPool, fence uint64, renewal bool, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+pool.Address()+"/grant", strings.NewReader("{}"))
	assert.NilError(t, err)
	_, _, err = pool.Do(ctx, request, fence, renewal)
	return err
}

// TestFenceIsNotSentAgainOverAnotherConnection checks that a grant is not renewed after its
// connection is closed, because another process may have taken over the address.
func TestFenceIsNotSentAgainOverAnotherConnection(t *testing.T) {
	for name, lose := range map[string]func(*grantTarget, *target.GrantPool){
		"closed by the target": func(g *grantTarget, _ *target.GrantPool) {
			g.server.CloseClientConnections()
			time.Sleep(20 * time.Millisecond)
		},
		"closed with the answer": func(g *grantTarget, pool *target.GrantPool) {
			g.closes.Store(true)
			assert.NilError(t, grant(t, pool, 1, true, answerTimeout))
		},
		"an unanswered grant": func(g *grantTarget, pool *target.GrantPool) {
			g.unanswered.Store(1)
			assert.Assert(t, grant(t, pool, 1, true, 50*time.Millisecond) != nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGrantTarget(t)
			pool := target.NewGrantPool(g.address(), time.Second)
			assert.NilError(t, grant(t, pool, 1, false, answerTimeout))
			assert.NilError(t, grant(t, pool, 1, true, answerTimeout))
			lose(g, pool)
			sent := g.grants.Load()
			err := grant(t, pool, 1, true, answerTimeout)
			assert.Assert(t, errors.Is(err, target.ErrProcessUnknown), "%v", err)
			assert.Equal(t, g.grants.Load(), sent)
			assert.NilError(t, grant(t, pool, 2, false, answerTimeout))
		})
	}
}

// TestGrantsEndWithTheirSender checks that the connection is reset when the granting process
// is killed, so that undelivered grants of a killed VM cannot arrive once a network partition
// heals.
func TestGrantsEndWithTheirSender(t *testing.T) {
	const addressVariable = "GRANT_TO"
	if address := os.Getenv(addressVariable); address != "" {
		t.Log(grant(t, target.NewGrantPool(address, time.Second), 1, false, time.Minute))
		return
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	sender := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	sender.Env = append(os.Environ(), addressVariable+"="+listener.Addr().String())
	assert.NilError(t, sender.Start())
	socket, err := listener.Accept()
	assert.NilError(t, err)
	defer socket.Close()
	reader := bufio.NewReader(socket)
	request, err := http.ReadRequest(reader)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, request.Body)
	assert.NilError(t, err)
	assert.NilError(t, sender.Process.Kill())
	_ = sender.Wait()
	_, err = reader.ReadByte()
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "the connection must end with a reset; got %v", err)
}

// TestEachRefusalByAnotherProcessIsReturned checks that each answer with status 421 is returned
// while the process at the address has not accepted any grant. If one was treated as a lost
// answer, the keys of the former process would be unavailable for the duration of a grant.
func TestEachRefusalByAnotherProcessIsReturned(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusMisdirectedRequest)
	}))
	defer server.Close()
	pool := target.NewGrantPool(server.Listener.Addr().String(), time.Second)
	for fence := range uint64(3) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/grant", strings.NewReader("{}"))
		assert.NilError(t, err)
		status, _, err := pool.Do(t.Context(), request, fence, false)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusMisdirectedRequest)
	}
}

// TestSilentOrderHoldsUpNoOther checks that a grant that is not answered does not delay
// the grants of other fences.
func TestSilentOrderHoldsUpNoOther(t *testing.T) {
	g := newGrantTarget(t)
	pool := target.NewGrantPool(g.address(), time.Second)
	g.unanswered.Store(1)
	lost := make(chan error, 1)
	go func() { lost <- grant(t, pool, 1, false, 500*time.Millisecond) }()
	for g.grants.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	for fence := uint64(2); fence < 40; fence++ {
		assert.NilError(t, grant(t, pool, fence, false, time.Second))
		assert.NilError(t, grant(t, pool, fence, true, time.Second))
	}
	assert.Assert(t, time.Since(began) < 400*time.Millisecond)
	assert.Equal(t, g.connections.Load(), int64(2))
	assert.Assert(t, <-lost != nil)
}

// TestGrantsAtOnceShareConnections checks that concurrent grants share the limited number
// of connections.
func TestGrantsAtOnceShareConnections(t *testing.T) {
	g := newGrantTarget(t)
	pool := target.NewGrantPool(g.address(), time.Second)
	results := make(chan error)
	for fence := range uint64(100) {
		go func() { results <- grant(t, pool, fence, false, 5*time.Second) }()
	}
	for range 100 {
		assert.NilError(t, <-results)
	}
	assert.Assert(t, g.connections.Load() <= 4, "%d connections were opened", g.connections.Load())
	assert.Assert(t, !pool.Idle())
}
