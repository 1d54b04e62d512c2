package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

const (
	// helloTimeout bounds the handshake that opens a session.
	helloTimeout = 3 * time.Second
	// maxHello is the maximum size of a Hello in bytes.
	maxHello = 4 << 10
)

// exchangeHello performs the handshake on a new connection: it sends the Hello
// of this VM and returns the peer described by the Hello it receives. Both sides
// send before they read, so that a mismatch is reported on both sides. Nothing
// beyond the peer's Hello is read from the connection: the bytes after it belong
// to yamux.
func exchangeHello(conn net.Conn, self Peer, deployment string) (Peer, error) {
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return Peer{}, err
	}
	own := &peerv1.Hello{Protocol: ProtocolVersion, Deployment: deployment, Vm: self.VM, Incarnation: self.Incarnation}
	frame, err := appendFrame(nil, own)
	if err != nil {
		return Peer{}, err
	}
	if _, err := conn.Write(frame); err != nil {
		return Peer{}, err
	}
	hello, err := readHello(conn)
	if err != nil {
		return Peer{}, err
	}
	if err := checkHello(hello, deployment); err != nil {
		return Peer{}, err
	}
	return Peer{VM: hello.Vm, Incarnation: hello.Incarnation}, conn.SetDeadline(time.Time{})
}

// readHello reads one Hello, and no byte beyond it.
func readHello(in io.Reader) (*peerv1.Hello, error) {
	size, err := binary.ReadUvarint(bufio.NewReaderSize(&oneByteReader{in}, 16))
	if err != nil {
		return nil, noEOF(err)
	}
	if size > maxHello {
		return nil, fault.New(fault.Invalid, "check that the address belongs to a daemon's peer listener",
			"peer announced a handshake message of %d bytes, above the limit of %d bytes", size, maxHello)
	}
	frame := make([]byte, size)
	if _, err := io.ReadFull(in, frame); err != nil {
		return nil, noEOF(err)
	}
	hello := &peerv1.Hello{}
	if err := proto.Unmarshal(frame, hello); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "check that the address belongs to a daemon's peer listener", "peer sent a malformed handshake message")
	}
	return hello, nil
}

// oneByteReader returns one byte per Read, so that a buffered reader on top of
// it does not read ahead.
type oneByteReader struct{ in io.Reader }

func (r *oneByteReader) Read(p []byte) (int, error) {
	if len(p) > 1 {
		p = p[:1]
	}
	return r.in.Read(p)
}

// checkHello checks that the peer speaks the same protocol version, belongs to
// the same deployment, and names its VM and incarnation.
func checkHello(hello *peerv1.Hello, deployment string) error {
	if hello.Protocol != ProtocolVersion {
		return fault.New(fault.Refused, "run daemons of one protocol version",
			"peer %q speaks protocol version %d, this daemon %d", hello.Vm, hello.Protocol, ProtocolVersion)
	}
	if hello.Deployment != deployment {
		return fault.New(fault.Refused, "correct the seed peers or the deployment name in the settings",
			"peer %q belongs to deployment %q, this daemon to %q", hello.Vm, hello.Deployment, deployment)
	}
	if hello.Vm == "" || hello.Incarnation == "" {
		return fault.New(fault.Invalid, "set the VM name in the peer's settings", "peer gave no VM name or incarnation")
	}
	return nil
}
