package caller

import (
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// takeBacklog closes a listener and returns the connections that its callers had
// opened and nobody had accepted; closing alone would reset them. The deadline of the
// listener has passed, so its Accept does not return them any more. Connections that
// are opened between its last two system calls are still reset.
func takeBacklog(listener net.Listener) (waiting []net.Conn) {
	source, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := source.SyscallConn()
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
