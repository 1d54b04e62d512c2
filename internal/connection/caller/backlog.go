package caller

import (
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// takeBacklog closes a listener and returns the connections in its backlog, which
// closing alone would reset. The accept deadline of the listener has passed, so Accept
// no longer returns them. Connections that are opened between the last accept and the
// close are still reset.
func takeBacklog(listener net.Listener) (waiting []net.Conn) {
	sysConn, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return nil
	}
	var sockets []int
	_ = raw.Control(func(fd uintptr) {
		for {
			socket, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			switch err {
			case nil:
				sockets = append(sockets, socket)
			case unix.EINTR, unix.ECONNABORTED:
			default:
				return
			}
		}
	})
	_ = listener.Close()
	for _, socket := range sockets {
		file := os.NewFile(uintptr(socket), "")
		if connection, err := net.FileConn(file); err == nil {
			waiting = append(waiting, connection)
		}
		_ = file.Close()
	}
	return waiting
}
