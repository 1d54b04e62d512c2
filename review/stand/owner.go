//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/fencetarget"
)

const (
	keyedServers = 6
	// cutTime is how long a server is cut off, cutPause the time from one cut to the next.
	cutTime  = time.Second
	cutPause = 6 * time.Second
	cuts     = 6
	// heldTwice is for how long two servers may hold a key at the same time.
	heldTwice = 500 * time.Millisecond
	// keyStep is the distance of the keys that are looked at.
	keyStep = 512
)

// link leads connections to a server, or refuses them.
type link struct {
	address, server string
	mu              sync.Mutex
	listener        net.Listener
	open            map[net.Conn]bool
	// cut is set while connections are refused.
	cut atomic.Bool
}

func newLink(server string) *link {
	l := &link{address: freeAddress(), server: server, open: map[net.Conn]bool{}}
	l.heal()
	return l
}

// heal leads connections to the server again.
func (l *link) heal() {
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", l.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	must(err)
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	l.cut.Store(false)
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", l.server)
			if err != nil {
				_ = near.Close()
				continue
			}
			l.mu.Lock()
			l.open[near], l.open[far] = true, true
			l.mu.Unlock()
			go l.pass(near, far)
			go l.pass(far, near)
		}
	}()
}

func (l *link) pass(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_, _ = to.Close(), from.Close()
	l.mu.Lock()
	delete(l.open, to)
	delete(l.open, from)
	l.mu.Unlock()
}

// refuse ends the connections and refuses new ones, as a partition does that answers with
// resets. The server goes on.
func (l *link) refuse() {
	l.cut.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
	for c := range l.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// keyedServer is a server that holds keys, behind a link.
type keyedServer struct {
	*fencetarget.Target
	link *link
}

// playOwner cuts one server after the other off from all daemons for a second, so that its
// connections are refused. No key may have two holders that are up and reachable for more than
// half a second.
func playOwner(r *record, trouble bool) bool {
	d := newDeployment(r)
	defer d.end()
	var servers []*keyedServer
	for n := range keyedServers {
		zone := string("ab"[n%2])
		s := &keyedServer{Target: fencetarget.New(fencetarget.Settings{ID: fmt.Sprintf("board-%d", n), Keyed: true, Domain: zone, Work: 50 * time.Millisecond})}
		server := httptest.NewServer(s.Target)
		d.closers = append(d.closers, server.CloseClientConnections)
		s.link = newLink(strings.TrimPrefix(server.URL, "http://"))
		d.closers = append(d.closers, s.link.refuse)
		d.register(s.ID, "board", zone, s.link.address, 2, time.Now().Add(-time.Minute).UnixMilli(), "in_service")
		servers = append(servers, s)
	}
	d.configure(3, []any{route("/board/", "idempotent", "board")}, []any{service("board", true)})
	for n := range 4 {
		d.addVM(string("ab"[n%2]))
	}
	d.waitReady(20 * time.Second)
	awaitOwners(servers)
	time.Sleep(8 * time.Second)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers sync.WaitGroup
	for n := range 4 {
		callers.Go(func() { readBoard(ctx, r, d.vms[n], n) })
	}
	var broken atomic.Bool
	watched := make(chan struct{})
	go func() { defer close(watched); watchHolders(ctx, r, servers, &broken) }()
	for n := range cuts {
		s := servers[n%len(servers)]
		if trouble {
			r.note("%s is cut off: its connections are refused", s.ID)
			s.link.refuse()
		}
		time.Sleep(cutTime)
		if trouble {
			s.link.heal()
			r.note("%s is reachable again", s.ID)
		}
		time.Sleep(cutPause - cutTime)
	}
	cancel()
	callers.Wait()
	<-watched
	for _, s := range servers {
		for _, take := range s.Takes() {
			r.note("%s took keys %d to %d, fence %d, at %.3f", s.ID, take.First, take.Last, take.Fence, take.At.Sub(r.began).Seconds())
		}
		for _, ran := range s.Runs() {
			r.note("%s ran %s, key %d, at %.3f", s.ID, ran.Attempt, ran.Key, ran.At.Sub(r.began).Seconds())
		}
	}
	return !broken.Load()
}

// awaitOwners waits until each key has a holder.
func awaitOwners(servers []*keyedServer) {
	deadline := time.Now().Add(20 * time.Second)
	for key := 0; key < 1<<16; {
		if len(holders(servers, key)) > 0 {
			key += keyStep
			continue
		}
		if time.Now().After(deadline) {
			must(fmt.Errorf("key %d has no owner", key))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// holders returns the servers that hold a key and are reachable.
func holders(servers []*keyedServer, key int) (found []string) {
	for _, s := range servers {
		if !s.link.cut.Load() && s.Holds(key) {
			found = append(found, s.ID)
		}
	}
	return found
}

// watchHolders notes keys that two reachable servers hold for longer than heldTwice.
func watchHolders(ctx context.Context, r *record, servers []*keyedServer, broken *atomic.Bool) {
	since := map[int]time.Time{}
	noted := map[int]bool{}
	for ctx.Err() == nil {
		for key := 0; key < 1<<16; key += keyStep {
			both := holders(servers, key)
			if len(both) < 2 {
				if noted[key] {
					r.note("key %d has one holder again, after %s", key, time.Since(since[key]).Round(10*time.Millisecond))
				}
				delete(since, key)
				delete(noted, key)
				continue
			}
			if since[key].IsZero() {
				since[key] = time.Now()
			}
			if time.Since(since[key]) > heldTwice && !noted[key] {
				noted[key] = true
				broken.Store(true)
				r.note("OWNER: key %d is held by %v for more than %s", key, both, heldTwice)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// readBoard sends requests for random keys to a daemon.
func readBoard(ctx context.Context, r *record, v *vm, caller int) {
	client := &http.Client{Timeout: 3 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		attempt := fmt.Sprintf("read-%d-%d", caller, n)
		key := rand.IntN(1 << 16)
		request, err := http.NewRequest(http.MethodGet, "http://"+v.callers+"/board/x", nil)
		must(err)
		request.Host = host
		request.Header.Set("Attempt-Id", attempt)
		request.Header.Set("Request-Deadline", "2500")
		request.Header.Set("Shard-Key", fmt.Sprint(key))
		response, err := client.Do(request)
		if err != nil {
			r.note("%s, key %d, to %s: %v", attempt, key, v.name, err)
		} else {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			r.note("%s, key %d, to %s: status %d", attempt, key, v.name, response.StatusCode)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
