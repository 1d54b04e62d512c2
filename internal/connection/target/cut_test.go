package target_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
)

// TestCutAnswerNeverLooksWhole checks that an answer is not accepted as complete if the
// target closes the connection after any byte of it. Only the body of an answer
// without a length or chunked encoding may end at any byte.
func TestCutAnswerNeverLooksWhole(t *testing.T) {
	for name, c := range map[string]struct{ text, body string }{
		"length":       {answerHead("a", "Content-Length: 12", "Keep-Alive: timeout=10\r\n\r\n"), "twelve bytes"},
		"length first": {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + target.HeaderRequestID + ": a\r\n\r\n", "twelve bytes"},
		"no content":   {strings.Replace(answerHead("a", "\r\n"), "200 OK", "204 No Content", 1), ""},
		"not modified": {strings.Replace(answerHead("a", "Content-Length: 12\r\n\r\n"), "200 OK", "304 Not Modified", 1), ""},
		"closing":      {answerHead("a", "Connection: close", "Content-Length: 12\r\n\r\n"), "twelve bytes"},
		"old":          {strings.Replace(answerHead("a", "Content-Length: 12\r\n\r\n"), "HTTP/1.1", "HTTP/1.0", 1), "twelve bytes"},
		"old unframed": {strings.Replace(answerHead("a", "Keep-Alive: timeout=10\r\n\r\n"), "HTTP/1.1", "HTTP/1.0", 1), ""},
		"HEAD":         {answerHead("a", "Content-Length: 12\r\n\r\n"), ""},
		"chunked":      {answerHead("a", "Transfer-Encoding: chunked\r\n\r\n"), "6\r\ntwelve\r\n6;e=f\r\n bytes\r\n0\r\nT: u\r\n\r\n"},
		"unframed":     {answerHead("a", "Keep-Alive: timeout=10\r\n\r\n"), ""},
		"bare newline": {strings.ReplaceAll(answerHead("a", "Content-Length: 12\r\n\r\n"), "\r", ""), "twelve bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			text := c.text + c.body
			sent := ""
			request := func() *http.Request {
				r := newRequest("a", "", "")
				if name == http.MethodHead {
					r.Method = name
				}
				return r
			}
			pool := strayPool(t, func(socket *net.TCPConn) {
				_, _ = readRequest(bufio.NewReader(socket))
				_, _ = io.WriteString(socket, sent)
			})
			for n := range len(text) {
				sent = text[:n]
				answer, body, err := exchangeOnce(testContext(t), t, pool, request())
				assert.Assert(t, err != nil, "answer cut off after %q was accepted with body %q", sent, body)
				assert.Assert(t, answer == nil || n >= len(c.text), "head cut off after %q was accepted", sent)
				if answer == nil {
					assertSentWithoutAnswer(t, err)
				}
			}
			sent = text
			_, _, err := exchangeOnce(testContext(t), t, pool, request())
			assert.NilError(t, err)
		})
	}
}

// TestInvalidStatusIsRejected checks that invalid status codes are rejected. If one
// was forwarded, the response to the caller would not be valid HTTP.
func TestInvalidStatusIsRejected(t *testing.T) {
	for _, status := range []string{"000", "042", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			pool := strayPool(t, func(socket *net.TCPConn) {
				id, _ := readRequest(bufio.NewReader(socket))
				_, _ = io.WriteString(socket, strings.Replace(completeAnswer(id), "200", status, 1))
			})
			_, _, err := exchangeOnce(testContext(t), t, pool, newRequest("a", "", ""))
			assertSentWithoutAnswer(t, err)
		})
	}
}

// TestBodyWhoseFramingIsNotReadIsNoAnswer checks that an answer is rejected if net/http
// ignores the framing of its body. The body would seem complete wherever it is cut off.
func TestBodyWhoseFramingIsNotReadIsNoAnswer(t *testing.T) {
	id := target.HeaderRequestID + ": a\r\n"
	for name, text := range map[string]string{
		"chunks of HTTP/1.0":    "HTTP/1.0 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\nc\r\ntwel",
		"lower case":            "HTTP/1.0 200 OK\r\n" + id + "transfer-encoding:chunked\r\n\r\nc\r\ntwel",
		"space after length":    "HTTP/1.1 200 OK\r\n" + id + "Content-Length : 12\r\n\r\ntwel",
		"space after encoding":  "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding : chunked\r\n\r\nc\r\ntwel",
		"another major version": "HTTP/2.0 200 OK\r\n" + id + "Content-Length: 4\r\n\r\ntwel",
	} {
		t.Run(name, func(t *testing.T) {
			pool := strayPool(t, func(socket *net.TCPConn) {
				_, _ = readRequest(bufio.NewReader(socket))
				_, _ = io.WriteString(socket, text)
			})
			_, _, err := exchangeOnce(testContext(t), t, pool, newRequest("a", "", ""))
			assertSentWithoutAnswer(t, err)
		})
	}
}

// TestAnswerOfHTTP10IsWhole checks that HTTP/1.0 answers are accepted with a length and
// without one, and that their connections are not reused.
func TestAnswerOfHTTP10IsWhole(t *testing.T) {
	for _, header := range []string{"Content-Length: 12\r\nConnection: keep-alive\r\n", ""} {
		connections := make(chan struct{}, 4)
		pool := strayPool(t, func(socket *net.TCPConn) {
			connections <- struct{}{}
			id, _ := readRequest(bufio.NewReader(socket))
			_, _ = io.WriteString(socket, "HTTP/1.0 200 OK\r\n"+target.HeaderRequestID+": "+id+"\r\n"+header+"\r\ntwelve bytes")
		})
		for range 2 {
			_, body, err := exchangeOnce(testContext(t), t, pool, newRequest("a", "", ""))
			assert.NilError(t, err)
			assert.Equal(t, body, "twelve bytes")
		}
		assert.Equal(t, len(connections), 2)
	}
}

// TestResetNoticedByTheWriterCutsTheAnswer checks that an answer without a length is not
// accepted as complete if the target resets the connection while the request is still being
// written. The kernel reports the reset once: if the write gets it, the next read finds the
// end of the connection as after an orderly close.
func TestResetNoticedByTheWriterCutsTheAnswer(t *testing.T) {
	for name, version := range map[string]string{"HTTP/1.1": "HTTP/1.1", "HTTP/1.0": "HTTP/1.0"} {
		t.Run(name, func(t *testing.T) {
			reset := make(chan struct{})
			pool := strayPool(t, func(socket *net.TCPConn) {
				_, _ = http.ReadRequest(bufio.NewReader(socket))
				_, _ = io.WriteString(socket, strings.Replace(answerHead("a", "\r\n"), "HTTP/1.1", version, 1)+"half")
				<-reset
				_ = socket.SetLinger(0)
			})
			exchange, err := pool.Reserve(testContext(t))
			assert.NilError(t, err)
			upload := newEndlessUpload()
			request := newRequest("a", "", "")
			request.ContentLength, request.Body = -1, upload
			answer, err := exchange.Do(testContext(t), request, true)
			assert.NilError(t, err)
			close(reset)
			<-upload.closed
			body, err := io.ReadAll(answer.Body)
			assert.Assert(t, err != nil, "the answer %q looks complete", body)
			assert.Equal(t, pool.Open(), 0)
		})
	}
}

// TestEarlyAnswerWithoutALengthIsWhole checks that an answer without a length is complete if
// the target ends it in order before it has read the request's body, whatever the write does.
func TestEarlyAnswerWithoutALengthIsWhole(t *testing.T) {
	for name, waits := range map[string]bool{"the write waits for the target": true, "the write waits for the body": false} {
		t.Run(name, func(t *testing.T) {
			pool := strayPool(t, func(socket *net.TCPConn) {
				in := bufio.NewReader(socket)
				_, _ = http.ReadRequest(in)
				_, _ = io.WriteString(socket, answerHead("a", "\r\n")+"whole")
				_ = socket.CloseWrite()
				time.Sleep(50 * time.Millisecond)
				_, _ = io.Copy(io.Discard, in)
			})
			exchange, err := pool.Reserve(testContext(t))
			assert.NilError(t, err)
			request := newRequest("a", "", "")
			request.ContentLength, request.Body = -1, newEndlessUpload()
			if !waits {
				silent, end := io.Pipe()
				t.Cleanup(func() { _ = end.Close() })
				request.Body = silent
			}
			ctx := testContext(t)
			answer, err := exchange.Do(ctx, request, true)
			assert.NilError(t, err)
			body, err := io.ReadAll(answer.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "whole")
			assert.NilError(t, ctx.Err(), "the exchange lasted until its deadline")
		})
	}
}

// endlessUpload is a request's body without end. closed is closed with it, when the request
// has been written or its write has failed.
type endlessUpload struct {
	closed chan struct{}
	once   sync.Once
}

func newEndlessUpload() *endlessUpload { return &endlessUpload{closed: make(chan struct{})} }

func (u *endlessUpload) Read(p []byte) (int, error) { return len(p), nil }

func (u *endlessUpload) Close() error {
	u.once.Do(func() { close(u.closed) })
	return nil
}
