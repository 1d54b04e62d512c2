package peer

import (
	"bufio"
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

// maxFrame is the maximum size of an encoded message in bytes. A larger length
// prefix means that the peer does not speak this protocol.
const maxFrame = 2 << 20

// appendFrame appends a message, prefixed with its length as a varint.
func appendFrame(buffer []byte, message proto.Message) ([]byte, error) {
	size := proto.Size(message)
	if size > maxFrame {
		return buffer, fault.New(fault.Refused, "send the body on a stream of its own",
			"message of %d bytes exceeds the limit of %d bytes", size, maxFrame)
	}
	buffer = binary.AppendUvarint(buffer, uint64(size))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, message)
}

// frameReader reads length-delimited messages. Its buffer is reused, so a decoded
// message must not refer to it; protobuf copies the data that it keeps.
type frameReader struct {
	in     *bufio.Reader
	buffer []byte
}

func newFrameReader(in io.Reader, size int) *frameReader {
	return &frameReader{in: bufio.NewReaderSize(in, size)}
}

// next reads one message and returns its size in bytes. io.EOF means that the
// stream ended between two messages.
func (r *frameReader) next(message proto.Message) (int, error) {
	size, err := binary.ReadUvarint(r.in)
	if err != nil {
		return 0, err
	}
	if size > maxFrame {
		return 0, fault.New(fault.Invalid, "check that both daemons run the same version",
			"peer announced a message of %d bytes, above the limit of %d bytes", size, maxFrame)
	}
	frame, err := r.bytes(int(size))
	if err != nil {
		return 0, err
	}
	if err := proto.Unmarshal(frame, message); err != nil {
		return 0, fault.Wrap(err, fault.Invalid, "check that both daemons run the same version", "peer sent a malformed message")
	}
	return int(size), nil
}

// bytes returns the next size bytes. They are valid until the next call.
func (r *frameReader) bytes(size int) ([]byte, error) {
	if size <= r.in.Size() {
		frame, err := r.in.Peek(size)
		if err != nil {
			return nil, noEOF(err)
		}
		_, err = r.in.Discard(size)
		return frame, err
	}
	if cap(r.buffer) < size {
		r.buffer = make([]byte, size)
	}
	frame := r.buffer[:size]
	_, err := io.ReadFull(r.in, frame)
	if cap(r.buffer) > maxReusedBuffer {
		r.buffer = nil
	}
	return frame, noEOF(err)
}

// noEOF replaces io.EOF by io.ErrUnexpectedEOF, so that a truncated message is not
// taken for the regular end of a stream.
func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// maxReusedBuffer is the capacity in bytes above which a buffer is not kept for reuse.
const maxReusedBuffer = 64 << 10
