package peer

import (
	"context"
	"encoding/binary"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

// A body is sent on a stream of its own, as chunks that are prefixed with their
// length. The end marker is a chunk of length 0, followed by the total length; a
// body whose stream ends without it is truncated. The receiver of a request's
// body sends one byte to start the transfer. A receiver closes its half of the
// stream when it stops reading.
const (
	// chunkHeaderSize is the size of a chunk's length prefix in bytes.
	chunkHeaderSize = 4
	// endMarkerSize is the size of the end marker and the total length in bytes.
	endMarkerSize = 4 + 8
	// chunkSize is the maximum payload of a chunk in bytes.
	chunkSize = 32 << 10
	// goAheadByte tells the sender of a request's body to start. The source of the
	// body is not read until then, so a refused request can be sent to another VM.
	goAheadByte = 'G'
)

var (
	errBodyTruncated = fault.New(fault.UnknownOutcome, "treat the transfer as failed", "the body ended before its end marker")
	errBodyLength    = fault.New(fault.Invalid, "treat the transfer as failed", "the body's length differs from the total after its end marker")
	errBodyRefused   = fault.New(fault.Unavailable, "act on the response", "the receiver stopped reading the body")
	errChunkTooLong  = fault.New(fault.Invalid, "check that both daemons run the same version", "the peer sent a chunk of more than %d bytes", chunkSize)
)

// pastDeadline is a stream deadline that unblocks pending reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// chunkPool holds buffers for one chunk and its header.
var chunkPool = sync.Pool{New: func() any { b := make([]byte, chunkHeaderSize+chunkSize); return &b }}

// sendBody copies a body to a stream until the body ends, reading it fails, or
// the receiver closes its half of the stream. The end marker is written only
// after a complete body. If waitForGoAhead is set, nothing is read from the body
// until the receiver sends goAheadByte. sendBody closes the stream.
func sendBody(stream *yamux.Stream, body io.Reader, waitForGoAhead bool) error {
	goAhead, closed := watchReceiver(stream)
	defer func() {
		_ = stream.Close()
		_ = stream.SetReadDeadline(pastDeadline)
		<-closed
	}()
	if waitForGoAhead {
		select {
		case <-goAhead:
		case <-closed:
			return errBodyRefused
		}
	}
	if err := copyChunks(stream, body, closed); err != nil {
		return err
	}
	// Closing the stream before the receiver does could discard data that it has
	// not read yet.
	<-closed
	return nil
}

// watchReceiver reads the receiver's half of the stream. The channel goAhead is
// closed when the receiver asks for the body, the channel closed when it stops
// reading or the session ends.
func watchReceiver(stream *yamux.Stream) (goAhead, closed <-chan struct{}) {
	goAheadSeen, receiverClosed := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(receiverClosed)
		var one [1]byte
		if _, err := io.ReadFull(stream, one[:]); err == nil {
			close(goAheadSeen)
			_, _ = io.ReadFull(stream, one[:])
		}
		_ = stream.SetWriteDeadline(pastDeadline)
	}()
	return goAheadSeen, receiverClosed
}

// copyChunks writes the body in chunks, followed by its end marker. It stops with
// errBodyRefused when closed is closed.
func copyChunks(stream io.Writer, body io.Reader, closed <-chan struct{}) error {
	pooled := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(pooled)
	buffer := *pooled
	total := uint64(0)
	for {
		select {
		case <-closed:
			return errBodyRefused
		default:
		}
		n, err := body.Read(buffer[chunkHeaderSize:])
		if n > 0 {
			binary.BigEndian.PutUint32(buffer, uint32(n))
			if _, err := stream.Write(buffer[:chunkHeaderSize+n]); err != nil {
				return err
			}
			total += uint64(n)
		}
		if err == io.EOF {
			return writeEndMarker(stream, total)
		}
		if err != nil {
			return err
		}
	}
}

func writeEndMarker(stream io.Writer, total uint64) error {
	var end [endMarkerSize]byte
	binary.BigEndian.PutUint64(end[chunkHeaderSize:], total)
	_, err := stream.Write(end[:])
	return err
}

// bodyReader reads a body from its stream. Read returns io.EOF only after an end
// marker whose total matches the bytes received; any other end of the stream is
// an error.
type bodyReader struct {
	in     io.Reader
	stream *yamux.Stream
	// sendGoAhead is set if the first Read has to send goAheadByte.
	sendGoAhead bool
	// remaining is the unread part of the current chunk in bytes.
	remaining uint32
	// total counts the bytes read from the body.
	total uint64
	// err is the error that every later Read returns.
	err       error
	closeOnce sync.Once
	onClose   func()
}

// newBodyReader returns a reader for the body in stream; in reads stream through
// a buffer. onClose runs once, when the body is closed.
func newBodyReader(in io.Reader, stream *yamux.Stream, sendGoAhead bool, onClose func()) *bodyReader {
	return &bodyReader{in: in, stream: stream, sendGoAhead: sendGoAhead, onClose: onClose}
}

// Read implements io.Reader. The body is closed after the first error.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.read(p)
	if err != nil {
		b.err = err
		_ = b.Close()
	}
	return n, err
}

func (b *bodyReader) read(p []byte) (int, error) {
	if b.sendGoAhead {
		b.sendGoAhead = false
		if _, err := b.stream.Write([]byte{goAheadByte}); err != nil {
			return 0, errors.Annotate(err, "cannot request the body")
		}
	}
	if b.remaining == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
	}
	if uint32(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.in.Read(p)
	b.remaining -= uint32(n)
	b.total += uint64(n)
	if err == io.EOF {
		err = errBodyTruncated
	}
	return n, err
}

func (b *bodyReader) nextChunk() error {
	var header [chunkHeaderSize]byte
	if _, err := io.ReadFull(b.in, header[:]); err != nil {
		return truncatedOnEOF(err)
	}
	b.remaining = binary.BigEndian.Uint32(header[:])
	if b.remaining > chunkSize {
		return errChunkTooLong
	}
	if b.remaining > 0 {
		return nil
	}
	var total [endMarkerSize - chunkHeaderSize]byte
	if _, err := io.ReadFull(b.in, total[:]); err != nil {
		return truncatedOnEOF(err)
	}
	if binary.BigEndian.Uint64(total[:]) != b.total {
		return errBodyLength
	}
	return io.EOF
}

// truncatedOnEOF replaces the end of the stream by errBodyTruncated.
func truncatedOnEOF(err error) error {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return errBodyTruncated
	}
	return err
}

// Close stops the transfer and tells the sender so. It may be called during a
// Read and unblocks it.
func (b *bodyReader) Close() error {
	b.closeOnce.Do(func() {
		if b.stream != nil {
			_ = b.stream.SetReadDeadline(pastDeadline)
			_ = b.stream.Close()
		}
		if b.onClose != nil {
			b.onClose()
		}
	})
	return nil
}

// closeOnDone closes the body when the context ends. The returned function
// detaches the body from the context.
func (b *bodyReader) closeOnDone(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() { _ = b.Close() })
}
