package target_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/faketarget"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/rawserver"
)

// testTimeout limits one exchange. No test result depends on its value.
const testTimeout = 10 * time.Second

func listen(t *testing.T, settings faketarget.Settings) *faketarget.Server {
	t.Helper()
	if settings.Incarnation == "" {
		settings.Incarnation = "first"
	}
	server, err := faketarget.Listen("127.0.0.1:0", settings)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server
}

func newPool(t *testing.T, address string, limit int) *target.Pool {
	t.Helper()
	pool := target.NewPool(address, limit)
	t.Cleanup(pool.Close)
	return pool
}

func newRequest(id string, fault faketarget.Fault, body string) *http.Request {
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: "/item"}, Host: "target",
		Header: http.Header{}, ProtoMajor: 1, ProtoMinor: 1,
	}
	request.Header.Set(target.HeaderRequestID, id)
	request.Header.Set(target.HeaderDeadline, strconv.FormatInt(time.Now().Add(testTimeout).UnixMilli(), 10))
	if fault != "" {
		request.Header.Set(faketarget.HeaderFault, string(fault))
	}
	if body != "" {
		request.ContentLength = int64(len(body))
		request.Body = io.NopCloser(strings.NewReader(body))
	}
	return request
}

// exchangeOnce sends a request over a connection of the pool and reads the answer to its
// end.
func exchangeOnce(ctx context.Context, t *testing.T, pool *target.Pool, request *http.Request) (*target.Answer, string, error) {
	t.Helper()
	exchange, err := pool.Reserve(ctx)
	assert.NilError(t, err)
	answer, err := exchange.Do(ctx, request, false)
	if err != nil {
		return nil, "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return answer, string(body), err
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func TestConnectionIsReusedAfterACompleteAnswer(t *testing.T) {
	server := listen(t, faketarget.Settings{})
	pool := newPool(t, server.Address(), 4)
	for i := range 5 {
		id := "request-" + strconv.Itoa(i)
		answer, body, err := exchangeOnce(testContext(t), t, pool, newRequest(id, "", "body"))
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, http.StatusOK)
		assert.Equal(t, body, string(faketarget.AnswerBody(id, "", 0)))
		assert.Equal(t, answer.Incarnation, "first")
		assert.Equal(t, pool.Open(), 1)
	}
}

func TestDefectiveAnswersNeverLookWholeAndCloseTheConnection(t *testing.T) {
	for _, test := range []struct {
		fault faketarget.Fault
		// headArrives is set if only the body of the answer is defective.
		headArrives bool
	}{
		{faketarget.FaultCrossed, false},
		{faketarget.FaultShort, true},
		{faketarget.FaultShortChunked, true},
		{faketarget.FaultEndless, false},
		{faketarget.FaultReset, false},
		{faketarget.FaultGarbage, false},
	} {
		t.Run(string(test.fault), func(t *testing.T) {
			server := listen(t, faketarget.Settings{})
			pool := newPool(t, server.Address(), 4)
			answer, _, err := exchangeOnce(testContext(t), t, pool, newRequest("a", test.fault, ""))
			assert.Assert(t, err != nil, "a %s answer was accepted as complete", test.fault)
			assert.Equal(t, answer != nil, test.headArrives)
			if !test.headArrives {
				var failure *target.ExchangeError
				assert.Assert(t, errors.As(err, &failure))
				assert.Assert(t, failure.Sent, "an error after the target ran the request must report it as sent")
			}
			assert.Equal(t, len(server.Record().Executions), 1)
			assert.Equal(t, pool.Open(), 0, "the connection must not be reused")
		})
	}
}

func TestDoubledAnswerIsNotReadByTheNextRequest(t *testing.T) {
	server := listen(t, faketarget.Settings{})
	pool := newPool(t, server.Address(), 4)
	_, first, err := exchangeOnce(testContext(t), t, pool, newRequest("a", faketarget.FaultDoubled, ""))
	assert.NilError(t, err)
	assert.Equal(t, first, string(faketarget.AnswerBody("a", "", 0)))
	_, second, err := exchangeOnce(testContext(t), t, pool, newRequest("b", "", ""))
	assert.NilError(t, err)
	assert.Equal(t, second, string(faketarget.AnswerBody("b", "", 0)))
}

func TestTimedOutAnswerIsNotReadByTheNextRequest(t *testing.T) {
	server := listen(t, faketarget.Settings{})
	pool := newPool(t, server.Address(), 4)
	late := newRequest("a", faketarget.FaultLate, "")
	late.Header.Set(faketarget.HeaderServiceMillis, "300")
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, _, err := exchangeOnce(ctx, t, pool, late)
	var failure *target.ExchangeError
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, failure.Sent)
	assert.Equal(t, pool.Open(), 0)
	_, body, err := exchangeOnce(testContext(t), t, pool, newRequest("b", "", ""))
	assert.NilError(t, err)
	assert.Equal(t, body, string(faketarget.AnswerBody("b", "", 0)))
}

func TestCancellationReachesTheTarget(t *testing.T) {
	server := listen(t, faketarget.Settings{})
	pool := newPool(t, server.Address(), 4)
	request := newRequest("a", "", "")
	request.Header.Set(faketarget.HeaderServiceMillis, "60000")
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, _, err := exchangeOnce(ctx, t, pool, request)
	assert.Assert(t, err != nil)
	eventually(t, func() bool { return server.Record().Inside == 0 }, "the target still runs the request")
	executions := server.Record().Executions
	assert.Equal(t, len(executions), 1)
	assert.Assert(t, executions[0].Canceled)
}

func TestReserveOnARefusedConnectionSendsNothing(t *testing.T) {
	server := listen(t, faketarget.Settings{})
	address := server.Address()
	server.Close()
	pool := newPool(t, address, 4)
	_, err := pool.Reserve(testContext(t))
	assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
	assert.Equal(t, pool.Open(), 0)
}

func TestPoolNeverExceedsItsLimit(t *testing.T) {
	server := listen(t, faketarget.Settings{})
	pool := newPool(t, server.Address(), 2)
	first, err := pool.Reserve(testContext(t))
	assert.NilError(t, err)
	second, err := pool.Reserve(testContext(t))
	assert.NilError(t, err)
	_, err = pool.Reserve(testContext(t))
	assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
	first.Return()
	second.Return()
	assert.Equal(t, pool.Open(), 2)
}

func TestWarmConnectionsKnowTheIncarnation(t *testing.T) {
	server := listen(t, faketarget.Settings{Incarnation: "seventh"})
	pool := newPool(t, server.Address(), 8)
	pool.Warm(3)
	eventually(t, func() bool { return pool.Open() == 3 }, "warm connections were not opened")
	exchange, err := pool.Reserve(testContext(t))
	assert.NilError(t, err)
	assert.Equal(t, exchange.Incarnation(), "seventh")
	exchange.Return()
	assert.Equal(t, len(server.Record().Executions), 0, "a probe must not count as a request")
}

func TestConnectionClosedByTheTargetWhileIdleIsReplaced(t *testing.T) {
	server := listen(t, faketarget.Settings{})
	address := server.Address()
	pool := newPool(t, address, 4)
	_, _, err := exchangeOnce(testContext(t), t, pool, newRequest("a", "", ""))
	assert.NilError(t, err)
	server.Close()
	restarted, err := faketarget.Listen(address, faketarget.Settings{Incarnation: "second"})
	assert.NilError(t, err)
	t.Cleanup(restarted.Close)
	_, body, err := exchangeOnce(testContext(t), t, pool, newRequest("b", "", ""))
	assert.NilError(t, err)
	assert.Equal(t, body, string(faketarget.AnswerBody("b", "", 0)))
	assert.Equal(t, pool.Lost(), 1)
}

// TestLossOfAllConnectionsIsNoticed: a target that closes one of its idle connections may go
// on; one that closes all of them may have ended.
func TestLossOfAllConnectionsIsNoticed(t *testing.T) {
	var opened []*net.TCPConn
	var mu sync.Mutex
	address := rawserver.Listen(t, func(socket *net.TCPConn) {
		mu.Lock()
		opened = append(opened, socket)
		mu.Unlock()
		serveUnless(socket, func() bool { return false })
	})
	pool := newPool(t, address, 4)
	pool.Warm(2)
	eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(opened) == 2
	}, "warm connections were not opened")
	assert.Assert(t, pool.ContactLost().IsZero())
	assert.NilError(t, opened[0].Close())
	eventually(t, func() bool { pool.CloseStale(); return pool.Lost() == 1 }, "the loss was not found")
	assert.Assert(t, pool.ContactLost().IsZero(), "the other connection has outlasted it")
	assert.NilError(t, opened[1].Close())
	eventually(t, func() bool { return !pool.ContactLost().IsZero() }, "the loss was not found")
	_, _, err := exchangeOnce(testContext(t), t, pool, newRequest("a", "", ""))
	assert.NilError(t, err)
	assert.Assert(t, !pool.ContactLost().IsZero(), "a later connection shows nothing about the loss")
}

func TestStreamedBodiesPassBothWays(t *testing.T) {
	server := listen(t, faketarget.Settings{Chunked: true, AnswerBytes: 1 << 20})
	pool := newPool(t, server.Address(), 4)
	exchange, err := pool.Reserve(testContext(t))
	assert.NilError(t, err)
	request := newRequest("a", "", "")
	request.ContentLength = -1
	request.Body = io.NopCloser(strings.NewReader(strings.Repeat("upload..", 1<<17)))
	answer, err := exchange.Do(testContext(t), request, true)
	assert.NilError(t, err)
	body, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(body), 1<<20)
	execution := server.Record().Executions[0]
	assert.Equal(t, execution.BodyBytes, int64(1<<20))
	assert.Assert(t, execution.BodyComplete)
	assert.Equal(t, pool.Open(), 1)
}

func TestRequestBodyThatBreaksOffReachesTheTargetAsBroken(t *testing.T) {
	server := listen(t, faketarget.Settings{})
	pool := newPool(t, server.Address(), 4)
	exchange, err := pool.Reserve(testContext(t))
	assert.NilError(t, err)
	request := newRequest("a", "", "")
	request.ContentLength = 1 << 20
	request.Body = io.NopCloser(io.MultiReader(strings.NewReader(strings.Repeat("x", 1<<18)), brokenReader{}))
	ctx := testContext(t)
	_, err = exchange.Do(ctx, request, true)
	assert.NilError(t, ctx.Err(), "the exchange must end with the body")
	var failure *target.ExchangeError
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Defect, target.BodyFailed)
	assert.Assert(t, failure.Sent)
	eventually(t, func() bool {
		executions := server.Record().Executions
		return len(executions) == 1 && !executions[0].End.IsZero()
	}, "the target still waits for the body")
	assert.Assert(t, !server.Record().Executions[0].BodyComplete)
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("the caller disconnected") }

func eventually(t *testing.T, condition func() bool, message string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal(message)
}
