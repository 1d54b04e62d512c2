// Package rawserver serves connections for tests that write bytes of their own.
package rawserver

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Listen serves each connection with a function, after which it is closed, until the
// test ends. It returns the address.
func Listen(t testing.TB, serve func(*net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer socket.Close()
				serve(socket.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}
