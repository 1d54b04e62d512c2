//go:build review

package main

import (
	"bytes"
	"net"
	"sync"
)

// relay passes TCP connections on to an address. It can make connections go silent: their bytes
// get nowhere any more, and neither end learns of it. It can also cut connections off, open and
// later ones.
type relay struct {
	address  string
	upstream string

	mu    sync.Mutex
	pipes map[*pipe]struct{}
	// cut tells which connections are cut off, by the first bytes that their clients send; nil
	// for none.
	cut func(first []byte) bool
}

// pipe is one connection through a relay.
type pipe struct {
	client, server net.Conn
	// first are the first bytes of the client.
	first []byte

	mu     sync.Mutex
	silent bool
}

// newRelay listens on a free port and passes connections on to upstream.
func newRelay(upstream string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("no port for a relay: %v", err)
	}
	r := &relay{address: listener.Addr().String(), upstream: upstream, pipes: map[*pipe]struct{}{}}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(client)
		}
	}()
	return r
}

func (r *relay) serve(client net.Conn) {
	first := make([]byte, 4<<10)
	n, err := client.Read(first)
	if err != nil {
		_ = client.Close()
		return
	}
	p := &pipe{client: client, first: first[:n]}
	if !r.add(p) {
		// Cut off: the client waits for an answer.
		return
	}
	p.server, err = net.Dial("tcp", r.upstream)
	if err == nil {
		_, err = p.server.Write(p.first)
	}
	if err != nil {
		reset(client)
		r.remove(p)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(p.server, client) })
	both.Go(func() { p.copy(client, p.server) })
	both.Wait()
	if p.isSilent() {
		// The sockets stay open, so that neither end notices anything.
		return
	}
	_, _ = client.Close(), p.server.Close()
	r.remove(p)
}

// add notes a connection. It reports false if it is cut off.
func (r *relay) add(p *pipe) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pipes[p] = struct{}{}
	p.silent = r.cut != nil && r.cut(p.first)
	return !p.silent
}

func (r *relay) remove(p *pipe) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pipes, p)
}

// copy passes bytes on in one direction until either end closes or the pipe goes silent. What a
// silent pipe is sent stays unread.
func (p *pipe) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if p.isSilent() {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if !p.isSilent() {
				_, _ = to.Close(), from.Close()
			}
			return
		}
	}
}

func (p *pipe) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func (p *pipe) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
}

// silence makes the connections that are open now go silent for good, and returns how many
// there are.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pipes {
		p.silence()
	}
	return len(r.pipes)
}

// cutOff cuts the connections whose clients name a machine, open and later ones; all of them if
// the name is empty.
func (r *relay) cutOff(machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = func(first []byte) bool { return machine == "" || bytes.Contains(first, []byte(machine)) }
	for p := range r.pipes {
		if r.cut(p.first) {
			p.silence()
		}
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
