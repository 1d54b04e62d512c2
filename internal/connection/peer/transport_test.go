package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/seed"
)

func TestSmallRequestsGetTheirOwnResponses(t *testing.T) {
	d := &directory{}
	a := start(t, d, "a", nil)
	start(t, d, "b", nil)
	var group sync.WaitGroup
	for caller := range 16 {
		group.Go(func() {
			for i := range 100 {
				body := fmt.Appendf(nil, "%d-%d", caller, i)
				response, _, err := a.Do(testContext(t), "b", &peerv1.Request{Body: body}, nil)
				assert.Check(t, err)
				assert.Check(t, string(response.GetBody()) == string(body))
			}
		})
	}
	group.Wait()
	assert.Equal(t, a.Stats().SessionsOpen, 1)
	assert.Equal(t, a.Stats().Unmatched, int64(0))
}

func TestOwnVMIsServedWithoutASession(t *testing.T) {
	a := start(t, &directory{}, "a", nil)
	response, _, err := a.Do(testContext(t), "a", &peerv1.Request{Body: []byte("x")}, nil)
	assert.NilError(t, err)
	assert.Equal(t, string(response.Body), "x")
	assert.Equal(t, a.Stats().SessionsOpen, 0)
}

func TestBodiesStreamBothWays(t *testing.T) {
	d := &directory{}
	a := start(t, d, "a", nil)
	start(t, d, "b", nil)
	random := seed.Rand(1)
	for _, size := range []int{0, 1, DefaultMaxSmallBody - 1, DefaultMaxSmallBody, DefaultMaxSmallBody + 1, 300_000, 2_000_000} {
		for _, known := range []bool{true, false} {
			content := make([]byte, size)
			for i := range content {
				content[i] = byte(random.Uint32())
			}
			request := &peerv1.Request{BodyFollows: true, ContentLength: -1}
			if known {
				request.ContentLength = int64(size)
			}
			response, body, err := a.Do(testContext(t), "b", request, bytes.NewReader(content))
			assert.NilError(t, err)
			got := response.Body
			if response.BodyFollows {
				got, err = io.ReadAll(body)
				assert.NilError(t, err)
				assert.NilError(t, body.Close())
			}
			assert.Assert(t, bytes.Equal(got, content), "size %d, known %v: got %d bytes", size, known, len(got))
		}
	}
}

func TestCutRequestBodyNeverLooksWhole(t *testing.T) {
	d := &directory{}
	a := start(t, d, "a", nil)
	readErr := make(chan error, 1)
	start(t, d, "b", func(c *Config) {
		c.Requests = serveFunc(func(_ context.Context, _ Peer, _ *peerv1.Request, body io.Reader) (*peerv1.Response, io.ReadCloser) {
			_, err := io.Copy(io.Discard, body)
			readErr <- err
			return &peerv1.Response{Outcome: outcome.Unknown.Wire()}, nil
		})
	})
	source := io.MultiReader(bytes.NewReader(make([]byte, 100_000)), failingReader{})
	_, _, err := a.Do(testContext(t), "b", &peerv1.Request{BodyFollows: true, ContentLength: -1}, source)
	assert.NilError(t, err)
	assert.ErrorContains(t, <-readErr, "ended before its end marker")
}

func TestCutResponseBodyNeverLooksWhole(t *testing.T) {
	d := &directory{}
	a := start(t, d, "a", nil)
	start(t, d, "b", func(c *Config) {
		c.Requests = serveFunc(func(context.Context, Peer, *peerv1.Request, io.Reader) (*peerv1.Response, io.ReadCloser) {
			body := io.MultiReader(bytes.NewReader(make([]byte, 100_000)), failingReader{})
			return &peerv1.Response{Outcome: outcome.Answered.Wire(), BodyFollows: true, ContentLength: -1}, io.NopCloser(body)
		})
	})
	_, body, err := a.Do(testContext(t), "b", &peerv1.Request{}, nil)
	assert.NilError(t, err)
	n, err := io.Copy(io.Discard, body)
	assert.Equal(t, n, int64(100_000))
	assert.ErrorContains(t, err, "ended before its end marker")
}

// TestShortInlineBodyIsUnknown covers a small response body that ends before its
// announced length.
func TestShortInlineBodyIsUnknown(t *testing.T) {
	d := &directory{}
	a := start(t, d, "a", nil)
	start(t, d, "b", func(c *Config) {
		c.Requests = serveFunc(func(context.Context, Peer, *peerv1.Request, io.Reader) (*peerv1.Response, io.ReadCloser) {
			return &peerv1.Response{Outcome: outcome.Answered.Wire(), Status: 200, BodyFollows: true, ContentLength: 10}, io.NopCloser(bytes.NewReader([]byte("short")))
		})
	})
	response, _, err := a.Do(testContext(t), "b", &peerv1.Request{}, nil)
	assert.NilError(t, err)
	assert.Equal(t, outcome.FromWire(response.Outcome), outcome.Unknown)
	assert.Equal(t, response.Reason, string(outcome.TargetBroken))
}

// TestRefusedRequestConsumesNoBody checks that the body of a refused request stays
// unread, so that the request can be sent to another VM.
func TestRefusedRequestConsumesNoBody(t *testing.T) {
	d := &directory{}
	a := start(t, d, "a", nil)
	start(t, d, "b", func(c *Config) {
		c.Requests = serveFunc(func(context.Context, Peer, *peerv1.Request, io.Reader) (*peerv1.Response, io.ReadCloser) {
			return refusedResponse(0, outcome.QueueFull), nil
		})
	})
	source := &countingReader{}
	response, _, err := a.Do(testContext(t), "b", &peerv1.Request{BodyFollows: true, ContentLength: 1 << 30}, source)
	assert.NilError(t, err)
	assert.Equal(t, outcome.FromWire(response.Outcome), outcome.NotRun)
	eventually(t, "the body's stream is closed", func() bool { return a.openBodies() == 0 })
	assert.Equal(t, source.reads.Load(), int64(0))
}

func TestCancellationReachesTheHandler(t *testing.T) {
	d := &directory{}
	a := start(t, d, "a", nil)
	began, ended := make(chan struct{}), make(chan struct{})
	start(t, d, "b", func(c *Config) {
		c.Requests = serveFunc(func(ctx context.Context, _ Peer, _ *peerv1.Request, _ io.Reader) (*peerv1.Response, io.ReadCloser) {
			close(began)
			<-ctx.Done()
			close(ended)
			return refusedResponse(0, outcome.Canceled), nil
		})
	})
	ctx, cancel := context.WithCancel(testContext(t))
	go func() { <-began; cancel() }()
	_, _, err := a.Do(ctx, "b", &peerv1.Request{}, nil)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, sentOf(t, err))
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the handler's context did not end")
	}
}

func TestCrossedResponseIsUnknown(t *testing.T) {
	d := &directory{}
	a := start(t, d, "a", nil)
	start(t, d, "b", func(c *Config) {
		c.Requests = serveFunc(func(_ context.Context, _ Peer, request *peerv1.Request, _ io.Reader) (*peerv1.Response, io.ReadCloser) {
			return &peerv1.Response{Id: request.Id + 1, Outcome: outcome.Answered.Wire(), Body: []byte("another's answer")}, nil
		})
	})
	response, _, err := a.Do(testContext(t), "b", &peerv1.Request{}, nil)
	assert.NilError(t, err)
	assert.Equal(t, outcome.FromWire(response.Outcome), outcome.Unknown)
	assert.Equal(t, len(response.Body), 0)
}

func TestUnreachablePeerIsNotSent(t *testing.T) {
	d := &directory{}
	a := start(t, d, "a", nil)
	_, _, err := a.Do(testContext(t), "nowhere", &peerv1.Request{}, nil)
	assert.Assert(t, !sentOf(t, err))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d.set("gone", listener.Addr().String())
	assert.NilError(t, listener.Close())
	for range 3 {
		_, _, err = a.Do(testContext(t), "gone", &peerv1.Request{}, nil)
		assert.Assert(t, !sentOf(t, err))
	}
}

// TestFrozenPeerIsNotSent covers a frozen daemon: the kernel accepts the
// connection, but the handshake is not answered.
func TestFrozenPeerIsNotSent(t *testing.T) {
	d := &directory{}
	a := start(t, d, "a", nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	d.set("frozen", listener.Addr().String())
	began := time.Now()
	_, _, err = a.Do(testContext(t), "frozen", &peerv1.Request{}, nil)
	assert.Assert(t, !sentOf(t, err))
	assert.Assert(t, time.Since(began) < helloTimeout, "the dial took %v", time.Since(began))
}

func TestLostSessionFailsWhatIsUnderWay(t *testing.T) {
	d := &directory{}
	a := start(t, d, "a", nil)
	began := make(chan struct{})
	b := start(t, d, "b", func(c *Config) {
		c.Requests = serveFunc(func(ctx context.Context, _ Peer, _ *peerv1.Request, _ io.Reader) (*peerv1.Response, io.ReadCloser) {
			close(began)
			<-ctx.Done()
			return refusedResponse(0, outcome.Canceled), nil
		})
	})
	go func() { <-began; b.stop() }()
	_, _, err := a.Do(testContext(t), "b", &peerv1.Request{}, nil)
	assert.Assert(t, sentOf(t, err))
	assert.Assert(t, testContext(t).Err() == nil)
}

func TestControlMessages(t *testing.T) {
	d := &directory{}
	delayed := make(chan *peerv1.Control, 1)
	received := make(chan string, 10)
	var b *Transport
	a := start(t, d, "a", nil)
	b = start(t, d, "b", func(c *Config) {
		c.Control = func(from Peer, message *peerv1.Control) *peerv1.Control {
			switch kind := message.Kind.(type) {
			case *peerv1.Control_Heartbeat:
				received <- fmt.Sprintf("%s %s %d", from.VM, from.Incarnation, kind.Heartbeat.Sequence)
			case *peerv1.Control_Digest:
				delayed <- message
			case *peerv1.Control_PromiseRequest:
				return &peerv1.Control{Kind: &peerv1.Control_Promise{Promise: &peerv1.Promise{RemainingUs: 7}}}
			}
			return nil
		}
	})
	for sequence := range uint64(3) {
		a.Send("b", &peerv1.Control{Kind: &peerv1.Control_Heartbeat{Heartbeat: &peerv1.Heartbeat{Sequence: sequence}}})
	}
	for sequence := range 3 {
		assert.Equal(t, <-received, fmt.Sprintf("a a-1 %d", sequence))
	}
	reply, err := a.Call(testContext(t), "b", &peerv1.Control{Kind: &peerv1.Control_PromiseRequest{PromiseRequest: &peerv1.PromiseRequest{}}})
	assert.NilError(t, err)
	assert.Equal(t, reply.GetPromise().RemainingUs, int64(7))

	go func() {
		message := <-delayed
		b.Send("a", &peerv1.Control{ReplyTo: message.Call, Kind: &peerv1.Control_Error{Error: &peerv1.Error{Reason: "later"}}})
	}()
	reply, err = a.Call(testContext(t), "b", &peerv1.Control{Kind: &peerv1.Control_Digest{Digest: &peerv1.Digest{}}})
	assert.NilError(t, err)
	assert.Equal(t, reply.GetError().Reason, "later")
	assert.Assert(t, a.Stats().ControlBytesSent > 0 && b.Stats().ControlBytesReceived > 0)

	reply, err = b.Call(testContext(t), "b", &peerv1.Control{Kind: &peerv1.Control_PromiseRequest{PromiseRequest: &peerv1.PromiseRequest{}}})
	assert.NilError(t, err)
	assert.Equal(t, reply.GetPromise().RemainingUs, int64(7))
}

func TestCallFailsWhenTheSessionIsLost(t *testing.T) {
	d := &directory{}
	a := start(t, d, "a", nil)
	began := make(chan struct{})
	b := start(t, d, "b", func(c *Config) {
		c.Control = func(Peer, *peerv1.Control) *peerv1.Control { close(began); return nil }
	})
	go func() { <-began; b.stop() }()
	_, err := a.Call(testContext(t), "b", &peerv1.Control{Kind: &peerv1.Control_Digest{Digest: &peerv1.Digest{}}})
	assert.ErrorIs(t, err, errCallLost)
}

func TestSeedAddresses(t *testing.T) {
	d := &directory{}
	received := make(chan string, 10)
	control := func(c *Config) {
		c.Control = func(from Peer, _ *peerv1.Control) *peerv1.Control { received <- c.Self.VM; return nil }
	}
	a := start(t, d, "a", control)
	start(t, d, "b", control)
	message := &peerv1.Control{Kind: &peerv1.Control_Heartbeat{Heartbeat: &peerv1.Heartbeat{}}}
	other, _ := d.addressOf("b")
	a.Send(other, message)
	assert.Equal(t, <-received, "b")
	a.Send("b", message)
	assert.Equal(t, <-received, "b")
	assert.Equal(t, a.Stats().SessionsOpen, 1)

	c := start(t, d, "c", control)
	c.Send("b", message)
	assert.Equal(t, <-received, "b")
	c.Send(other, message)
	assert.Equal(t, <-received, "b")
	eventually(t, "the second session is closed", func() bool { return c.Stats().SessionsOpen == 1 })

	own, _ := d.addressOf("a")
	a.Send(own, message)
	eventually(t, "the address is known to be this VM's own", func() bool { return a.link(own).isOwnAddress.Load() })
	a.Send(own, message)
	assert.Equal(t, <-received, "a")
}

func TestStrangersAreRefused(t *testing.T) {
	d := &directory{}
	a := start(t, d, "a", nil)
	start(t, d, "stranger", func(c *Config) { c.Deployment = "other" })
	start(t, d, "b", nil)
	_, _, err := a.Do(testContext(t), "stranger", &peerv1.Request{}, nil)
	assert.ErrorContains(t, err, `belongs to deployment "other"`)
	assert.Assert(t, !sentOf(t, err))

	address, _ := d.addressOf("b")
	d.set("c", address)
	_, _, err = a.Do(testContext(t), "c", &peerv1.Request{}, nil)
	assert.ErrorContains(t, err, `belongs to VM "b"`)
	assert.Assert(t, !sentOf(t, err))
}

func TestOtherProtocolVersionIsRefused(t *testing.T) {
	hello := &peerv1.Hello{Protocol: ProtocolVersion + 1, Deployment: "test", Vm: "b", Incarnation: "1"}
	assert.ErrorContains(t, checkHello(hello, "test"), "protocol version")
	hello.Protocol = ProtocolVersion
	assert.NilError(t, checkHello(hello, "test"))
	hello.Incarnation = ""
	assert.ErrorContains(t, checkHello(hello, "test"), "no VM name or incarnation")
}

func TestBothSidesDialAtOnce(t *testing.T) {
	for round := range 20 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			d := &directory{}
			a, b := start(t, d, "a", nil), start(t, d, "b", nil)
			var group sync.WaitGroup
			for range 8 {
				group.Go(func() { checkDo(t, a, "b") })
				group.Go(func() { checkDo(t, b, "a") })
			}
			group.Wait()
			eventually(t, "one session is left", func() bool {
				return a.Stats().SessionsOpen == 1 && b.Stats().SessionsOpen == 1
			})
			checkDo(t, a, "b")
			checkDo(t, b, "a")
		})
	}
}

// checkDo sends a request to a VM and checks that the response echoes its body.
func checkDo(t *testing.T, from *Transport, vm string) {
	response, _, err := from.Do(testContext(t), vm, &peerv1.Request{Body: []byte(vm)}, nil)
	assert.Check(t, err)
	assert.Check(t, string(response.GetBody()) == vm)
}
