package target_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/rawserver"
)

// maxAllocated limits the memory allocated for an endless answer, in bytes.
const maxAllocated = 8 << 20

// strayOptions holds the pool settings that skip stray answers.
var strayOptions = target.PoolOptions{
	RequestIDHeader: target.HeaderRequestID, Unframed: true, SkipStray: true, DialTimeout: testTimeout, MaxIdle: testTimeout,
}

// strayPool returns a pool for a target that serves each connection with serve.
func strayPool(t *testing.T, serve func(*net.TCPConn)) *target.Pool {
	pool := target.NewPoolWithOptions(rawserver.Listen(t, serve), 4, strayOptions)
	t.Cleanup(pool.Close)
	return pool
}

// readRequest reads a request including its body and returns its ID.
func readRequest(in *bufio.Reader) (string, error) {
	request, err := http.ReadRequest(in)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, request.Body)
	return request.Header.Get(target.HeaderRequestID), err
}

// answerHead returns a status line and headers of an answer to the request with an ID. It does
// not add the final line break and the empty line.
func answerHead(id string, headers ...string) string {
	return "HTTP/1.1 200 OK\r\n" + target.HeaderRequestID + ": " + id + "\r\n" + strings.Join(headers, "\r\n")
}

// completeAnswer returns a complete answer to the request with an ID. The body is the ID.
func completeAnswer(id string) string {
	return answerHead(id, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(id), id))
}

// assertSentWithoutAnswer asserts that err is that of a request that may have run but has no
// answer.
func assertSentWithoutAnswer(t *testing.T, err error) {
	t.Helper()
	var failed *target.ExchangeError
	assert.Assert(t, errors.As(err, &failed) && failed.Sent, "want the error of a request that was sent; got %v", err)
}

// TestAnswerWithoutEndEndsTheExchange checks that an endless answer ends the exchange soon
// and allocates little memory, whichever part of the head or of the framing is endless.
func TestAnswerWithoutEndEndsTheExchange(t *testing.T) {
	line := strings.Repeat("x", 1000)
	for name, c := range map[string]struct{ begin, again string }{
		"status line":         {"HTTP/1.1 200 ", line},
		"garbage":             {"", line},
		"header name":         {"HTTP/1.1 200 OK\r\n", line},
		"header value":        {"HTTP/1.1 200 OK\r\nA: ", line},
		"continuation lines":  {"HTTP/1.1 200 OK\r\nA: b\r\n", " " + line + "\r\n"},
		"header lines":        {"HTTP/1.1 200 OK\r\n", "A: " + line + "\r\n"},
		"informational heads": {"", "HTTP/1.1 103 Early Hints\r\nA: " + line + "\r\n\r\n"},
		"stray answers":       {"", completeAnswer("another")},
		"stray body":          {answerHead("another", "Transfer-Encoding: chunked\r\n\r\n"), "3e8\r\n" + line + "\r\n"},
		"stray long body":     {answerHead("another", "Content-Length: 1099511627776\r\n\r\n"), line},
		"stray unframed body": {answerHead("another", "\r\n"), line},
		"chunk extension":     {answerHead("a", "Transfer-Encoding: chunked\r\n\r\n"), "1;" + line},
		"chunk extensions":    {answerHead("a", "Transfer-Encoding: chunked\r\n\r\n"), "1;" + line + "\r\nx\r\n"},
		"trailers":            {answerHead("a", "Transfer-Encoding: chunked\r\n\r\n0\r\n"), "A: " + line + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			pool := strayPool(t, func(socket *net.TCPConn) {
				defer close(ended)
				if _, err := readRequest(bufio.NewReader(socket)); err != nil {
					return
				}
				_, err := io.WriteString(socket, c.begin)
				for again := []byte(strings.Repeat(c.again, 32)); err == nil; {
					_, err = socket.Write(again)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, _, err := exchangeOnce(ctx, t, pool, newRequest("a", "", ""))
			runtime.ReadMemStats(&after)
			assert.Assert(t, err != nil)
			allocated := after.TotalAlloc - before.TotalAlloc
			assert.Check(t, allocated < maxAllocated, "%d bytes were allocated", allocated)
			assert.NilError(t, ctx.Err(), "the exchange lasted until its deadline")
			assert.Equal(t, pool.Open(), 0)
			<-ended
		})
	}
}

// TestBytesBeyondTheLengthEndTheConnection checks that bytes after the end of an answer,
// even endless ones, close the connection and leave the answer valid.
func TestBytesBeyondTheLengthEndTheConnection(t *testing.T) {
	ended := make(chan struct{})
	pool := strayPool(t, func(socket *net.TCPConn) {
		defer close(ended)
		id, err := readRequest(bufio.NewReader(socket))
		for text := completeAnswer(id); err == nil; text = strings.Repeat("x", 32<<10) {
			_, err = io.WriteString(socket, text)
		}
	})
	_, body, err := exchangeOnce(testContext(t), t, pool, newRequest("a", "", ""))
	assert.NilError(t, err)
	assert.Equal(t, body, "a")
	eventually(t, func() bool {
		pool.CloseStale()
		return pool.Open() == 0
	}, "the connection was not closed")
	<-ended
}

// TestBytesOnAnIdleConnectionEndIt checks that an idle connection is closed when the target
// sends anything on it.
func TestBytesOnAnIdleConnectionEndIt(t *testing.T) {
	for name, text := range map[string]string{
		"garbage": strings.Repeat("x", 32<<10), "heads": "HTTP/1.1 103 Early Hints\r\n\r\n", "an earlier refusal": answerHead("x", "Content-Length: 0\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{})
			pool := strayPool(t, func(socket *net.TCPConn) {
				defer close(ended)
				id, err := readRequest(bufio.NewReader(socket))
				assert.Check(t, err)
				_, err = io.WriteString(socket, completeAnswer(id))
				time.Sleep(50 * time.Millisecond)
				for again := []byte(text); err == nil; {
					_, err = socket.Write(again)
				}
			})
			_, _, err := exchangeOnce(testContext(t), t, pool, newRequest("a", "", ""))
			assert.NilError(t, err)
			eventually(t, func() bool {
				pool.CloseStale()
				return pool.Open() == 0
			}, "the connection was not closed")
			<-ended
		})
	}
}

// TestBytesBeyondTheProbeSendNoRequest checks that a connection is not used if bytes follow
// the answer to its probe. They would be read instead of the answer to a request.
func TestBytesBeyondTheProbeSendNoRequest(t *testing.T) {
	for name, text := range map[string]string{
		"doubled":  completeAnswer("") + completeAnswer(""),
		"long":     answerHead("", fmt.Sprintf("Content-Length: %d\r\n\r\n", 2<<20), strings.Repeat("x", 2<<20)),
		"then cut": completeAnswer("") + "HTTP/1.1 503 Serv",
	} {
		t.Run(name, func(t *testing.T) {
			requests := make(chan string, 4)
			options := target.DefaultPoolOptions
			options.DialTimeout = testTimeout
			pool := target.NewPoolWithOptions(rawserver.Listen(t, func(socket *net.TCPConn) {
				in := bufio.NewReader(socket)
				if _, err := readRequest(in); err != nil {
					return
				}
				_, _ = io.WriteString(socket, text)
				if id, err := readRequest(in); err == nil {
					requests <- id
				}
			}), 1, options)
			t.Cleanup(pool.Close)
			_, err := pool.Reserve(testContext(t))
			assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
			assert.Equal(t, pool.Open(), 0)
			assert.Equal(t, len(requests), 0)
		})
	}
}
