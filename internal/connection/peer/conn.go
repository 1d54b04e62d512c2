package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// yamuxHeaderSize is the size of a yamux frame header in bytes.
const yamuxHeaderSize = 12

// processStart is the origin of the times that now returns.
var processStart = time.Now()

// now returns the time since the start of the process, on the monotonic clock.
func now() time.Duration { return time.Since(processStart) }

// countedConn is a connection that counts its bytes, records when the peer last
// sent any, and merges a yamux frame header and the body that follows it into
// one write.
type countedConn struct {
	net.Conn
	sent     *atomic.Int64
	received *atomic.Int64
	// lastReadAt is the time of the last read that returned data, in nanoseconds
	// (see now).
	lastReadAt atomic.Int64
	// frameBuffer holds the header of a data frame until its body arrives. Only the
	// send goroutine of the yamux session writes, so it needs no lock.
	frameBuffer []byte
}

func newCountedConn(conn net.Conn, sent, received *atomic.Int64) *countedConn {
	c := &countedConn{Conn: conn, sent: sent, received: received}
	c.lastReadAt.Store(int64(now()))
	return c
}

// lastRead returns when the peer last sent any bytes.
func (c *countedConn) lastRead() time.Duration { return time.Duration(c.lastReadAt.Load()) }

// Read reads from the connection.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Add(int64(n))
		c.lastReadAt.Store(int64(now()))
	}
	return n, err
}

// Write writes to the connection. The header of a data frame is held back until
// the next call brings its body; yamux makes that call immediately.
func (c *countedConn) Write(p []byte) (int, error) {
	if len(c.frameBuffer) == 0 && isDataHeader(p) {
		c.frameBuffer = append(c.frameBuffer[:0], p...)
		return len(p), nil
	}
	if len(c.frameBuffer) == 0 {
		return c.write(p)
	}
	c.frameBuffer = append(c.frameBuffer, p...)
	_, err := c.write(c.frameBuffer)
	c.frameBuffer = c.frameBuffer[:0]
	if cap(c.frameBuffer) > maxReusedBuffer {
		c.frameBuffer = nil
	}
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *countedConn) write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// isDataHeader reports whether p is the header of a yamux data frame whose body
// is not empty: byte 0 is the version, byte 1 the type (0 for data), bytes 8
// to 11 the length.
func isDataHeader(p []byte) bool {
	return len(p) == yamuxHeaderSize && p[0] == 0 && p[1] == 0 && p[8]|p[9]|p[10]|p[11] != 0
}
