package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"testing/iotest"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"

	_ "github.com/chestnutcourse/chestnutcourse/internal/testutil/seed"
)

// rawPeer is the remote end of a session without a Transport, so that a test can
// violate the protocol.
type rawPeer struct {
	requests *yamux.Stream
	reader   *frameReader
	mux      *yamux.Session
}

// startRawPeer accepts one session as VM "b" and passes it to serve.
func startRawPeer(t *testing.T, d *directory, serve func(*rawPeer)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d.set("b", listener.Addr().String())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, err = exchangeHello(conn, Peer{VM: "b", Incarnation: "1"}, "test")
		assert.Check(t, err)
		p := &rawPeer{}
		p.mux, err = yamux.Server(conn, yamuxConfig())
		assert.Check(t, err)
		defer p.mux.Close()
		_, err = p.mux.AcceptStream() // control
		assert.Check(t, err)
		p.requests, err = p.mux.AcceptStream()
		assert.Check(t, err)
		_, err = readKind(p.requests, testTimeout)
		assert.Check(t, err)
		p.reader = newFrameReader(p.requests, requestReadBuffer)
		serve(p)
		<-p.mux.CloseChan()
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
}

// next returns the next request; nil if reading fails.
func (p *rawPeer) next(t *testing.T) *peerv1.Request {
	for {
		frame := &peerv1.RequestFrame{}
		_, err := p.reader.next(frame)
		assert.Check(t, err)
		if err != nil || frame.GetRequest() != nil {
			return frame.GetRequest()
		}
	}
}

func (p *rawPeer) send(t *testing.T, response *peerv1.Response) {
	frame, err := appendFrame(nil, responseFrame(response))
	assert.Check(t, err)
	_, err = p.requests.Write(frame)
	assert.Check(t, err)
}

func answeredResponse(id uint64, body string) *peerv1.Response {
	return &peerv1.Response{Id: id, Outcome: outcome.Answered.Wire(), Status: 200, Body: []byte(body), ContentLength: int64(len(body))}
}

// TestDoubledLateAndUnknownResponses checks that a duplicate, a late response and
// one with an unknown id are counted as unmatched and do not complete another request.
func TestDoubledLateAndUnknownResponses(t *testing.T) {
	d := &directory{}
	canceled := make(chan struct{})
	startRawPeer(t, d, func(p *rawPeer) {
		first := p.next(t)
		p.send(t, answeredResponse(first.Id+100, "nobody's"))
		p.send(t, answeredResponse(first.Id, "first"))
		p.send(t, answeredResponse(first.Id, "doubled"))
		second := p.next(t)
		<-canceled
		p.send(t, answeredResponse(second.Id, "late"))
		last := p.next(t)
		p.send(t, answeredResponse(second.Id, "later still"))
		p.send(t, answeredResponse(last.Id, "last"))
	})
	a := start(t, d, "a", nil)
	response, _, err := a.Do(testContext(t), "b", &peerv1.Request{}, nil)
	assert.NilError(t, err)
	assert.Equal(t, string(response.Body), "first")

	ctx, cancel := context.WithTimeout(testContext(t), 50*time.Millisecond)
	defer cancel()
	_, _, err = a.Do(ctx, "b", &peerv1.Request{}, nil)
	assert.Assert(t, sentOf(t, err))
	close(canceled)

	response, _, err = a.Do(testContext(t), "b", &peerv1.Request{}, nil)
	assert.NilError(t, err)
	assert.Equal(t, string(response.Body), "last")
	assert.Equal(t, a.Stats().Unmatched, int64(4))
}

// TestResponseThatPromisesABodyOnTheSharedStream checks that a request fails if its
// response on the shared stream announces a body, which cannot follow there.
func TestResponseThatPromisesABodyOnTheSharedStream(t *testing.T) {
	d := &directory{}
	startRawPeer(t, d, func(p *rawPeer) {
		response := answeredResponse(p.next(t).Id, "")
		response.BodyFollows = true
		p.send(t, response)
	})
	a := start(t, d, "a", nil)
	_, _, err := a.Do(testContext(t), "b", &peerv1.Request{}, nil)
	assert.Assert(t, sentOf(t, err))
}

// TestGarbageEndsTheSession checks that bytes which are not a valid message end the
// session and with it the pending request.
func TestGarbageEndsTheSession(t *testing.T) {
	garbage := map[string][]byte{
		"length above the limit": binary.AppendUvarint(nil, maxFrame+1),
		"endless length":         bytes.Repeat([]byte{0xff}, 20),
		"malformed message":      {3, 0xff, 0xff, 0xff},
	}
	for name, content := range garbage {
		t.Run(name, func(t *testing.T) {
			d := &directory{}
			startRawPeer(t, d, func(p *rawPeer) {
				p.next(t)
				// The session under test may end before the write returns.
				_, err := p.requests.Write(content)
				assert.Check(t, err == nil || errors.Is(err, yamux.ErrSessionShutdown), "%v", err)
			})
			a := start(t, d, "a", nil)
			_, _, err := a.Do(testContext(t), "b", &peerv1.Request{}, nil)
			assert.Assert(t, sentOf(t, err))
		})
	}
}

// drawFrame draws a request frame of any kind.
func drawFrame(t *rapid.T) *peerv1.RequestFrame {
	id := rapid.Uint64().Draw(t, "id")
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		return requestFrame(&peerv1.Request{
			Id: id, Key: rapid.String().Draw(t, "key"), Body: rapid.SliceOfN(rapid.Byte(), 0, 10_000).Draw(t, "body"),
			Headers: []*peerv1.Header{{Name: rapid.String().Draw(t, "name"), Value: rapid.String().Draw(t, "value")}},
		})
	case 1:
		return responseFrame(&peerv1.Response{Id: id, Status: rapid.Uint32().Draw(t, "status")})
	case 2:
		return cancelFrame(id)
	}
	return leaveFrame(rapid.Bool().Draw(t, "accepted"))
}

// TestFramesSurviveAnySplit reads frames from a stream that is truncated at an
// arbitrary place and may return one byte at a time.
func TestFramesSurviveAnySplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		frames := rapid.SliceOfN(rapid.Custom(drawFrame), 1, 5).Draw(t, "frames")
		var stream []byte
		var ends []int
		for _, frame := range frames {
			var err error
			stream, err = appendFrame(stream, frame)
			assert.NilError(t, err)
			ends = append(ends, len(stream))
		}
		cut := rapid.IntRange(0, len(stream)).Draw(t, "cut")
		var in io.Reader = bytes.NewReader(stream[:cut])
		if rapid.Bool().Draw(t, "one byte at a time") {
			in = iotest.OneByteReader(in)
		}
		reader := newFrameReader(in, rapid.SampledFrom([]int{16, 100, 4096}).Draw(t, "buffer"))
		start := 0
		for i, frame := range frames {
			got := &peerv1.RequestFrame{}
			_, err := reader.next(got)
			if cut < ends[i] {
				if cut == start {
					assert.Equal(t, err, io.EOF)
				} else {
					assert.Equal(t, err, io.ErrUnexpectedEOF, "a truncated frame was taken for the end of the stream")
				}
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, proto.Equal(got, frame))
			start = ends[i]
		}
	})
}

// TestBodiesSurviveAnySplit reads a body from its chunks, which may be truncated at
// an arbitrary place.
func TestBodiesSurviveAnySplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(t, "start")
		content = append(content, make([]byte, rapid.IntRange(0, 3*chunkSize).Draw(t, "zeros"))...)
		var stream bytes.Buffer
		assert.NilError(t, copyChunks(&stream, bytes.NewReader(content), nil))
		encoded := stream.Bytes()
		cut := len(encoded)
		if rapid.Bool().Draw(t, "cut") {
			cut = rapid.IntRange(0, len(encoded)-1).Draw(t, "cut at")
		}
		body := newBodyReader(bufio.NewReader(bytes.NewReader(encoded[:cut])), nil, false, nil)
		got, err := io.ReadAll(body)
		if cut < len(encoded) {
			assert.Assert(t, err != nil, "a body truncated at byte %d of %d was accepted as complete", cut, len(encoded))
			return
		}
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, content))
	})
}

func TestWrongTotalIsDetected(t *testing.T) {
	var stream bytes.Buffer
	assert.NilError(t, copyChunks(&stream, bytes.NewReader([]byte("abc")), nil))
	encoded := stream.Bytes()
	encoded[len(encoded)-1]++
	_, err := io.ReadAll(newBodyReader(bytes.NewReader(encoded), nil, false, nil))
	assert.ErrorIs(t, err, errBodyLength)
}

// FuzzFrames passes arbitrary bytes to a frameReader. It must return messages or an
// error, and its messages must not have more bytes than the input.
func FuzzFrames(f *testing.F) {
	for _, frame := range []*peerv1.RequestFrame{requestFrame(&peerv1.Request{Id: 1, Key: "k"}), cancelFrame(7), leaveFrame(true)} {
		encoded, err := appendFrame(nil, frame)
		assert.NilError(f, err)
		f.Add(encoded)
		f.Add(encoded[:len(encoded)-1])
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, content []byte) {
		reader := newFrameReader(bytes.NewReader(content), 64)
		total := 0
		for {
			size, err := reader.next(&peerv1.RequestFrame{})
			if err != nil {
				return
			}
			if total += size + 1; total > len(content) {
				t.Fatalf("read messages of %d bytes from %d bytes of input", total, len(content))
			}
		}
	})
}
