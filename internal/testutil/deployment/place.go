package deployment

import (
	"io"
	"net"
	"strings"
	"sync"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/faultproxy"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/fencetarget"
)

// Place is an address at which one server runs after the other.
type Place struct {
	link     *faultproxy.Link
	listener net.Listener

	mu sync.Mutex
	// changed is signalled when a server starts.
	changed *sync.Cond
	// server is where the present server listens; empty while there is none.
	server string
	target *Target
	closed bool
	// open are the connections of the present server and, while there is none, of the
	// last one.
	open map[net.Conn]struct{}
}

// NewPlace returns an address without a server.
func (d *Deployment) NewPlace(name string) *Place {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(d.t, err)
	p := &Place{listener: listener, open: map[net.Conn]struct{}{}}
	p.changed = sync.NewCond(&p.mu)
	d.t.Cleanup(p.close)
	go p.accept()
	p.link = d.proxy.Link(name, listener.Addr().String())
	return p
}

// AddTargetAt starts a server at a place and registers it. Connections of the one
// before are reset; those that were opened since then reach the new one.
func (d *Deployment) AddTargetAt(p *Place, id, service string, settings fencetarget.Settings) *Target {
	t := d.startTarget(id, service, settings)
	t.Link = p.link
	p.mu.Lock()
	for conn := range p.open {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	p.open = map[net.Conn]struct{}{}
	p.server, p.target = strings.TrimPrefix(t.server.URL, "http://"), t
	p.changed.Broadcast()
	p.mu.Unlock()
	d.enter(t)
	return t
}

// Server returns the server that runs at a place or, while there is none, the last one.
func (p *Place) Server() *Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

// Silence ends the server at a place as a loss of power does: its connections, and
// those that are opened now, get no answer.
func (p *Place) Silence() {
	p.mu.Lock()
	p.server = ""
	p.mu.Unlock()
	p.Server().end()
}

// End ends the process of the server at a place: its port refuses connections until
// Reopen.
func (p *Place) End() {
	p.link.Break()
	p.Silence()
}

// Reopen accepts connections again after End.
func (p *Place) Reopen() { p.link.Restore() }

func (p *Place) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// serve passes a connection to the server, once there is one.
func (p *Place) serve(conn net.Conn) {
	p.mu.Lock()
	for p.server == "" && !p.closed {
		p.changed.Wait()
	}
	address := p.server
	p.open[conn] = struct{}{}
	p.mu.Unlock()
	server, err := net.Dial("tcp", address)
	if err != nil {
		p.forget(conn, address)
		return
	}
	defer server.Close()
	go func() {
		_, _ = io.Copy(server, conn)
		_ = server.Close()
	}()
	_, _ = io.Copy(conn, server)
	p.forget(conn, address)
}

// forget closes a connection whose server has closed it. While the place is silent it
// stays open, since nobody is there to close it.
func (p *Place) forget(conn net.Conn, server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.server == server || p.closed {
		delete(p.open, conn)
		_ = conn.Close()
	}
}

func (p *Place) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for conn := range p.open {
		_ = conn.Close()
	}
	p.changed.Broadcast()
}
