package caller_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/caller"
)

// FuzzRequests sends arbitrary bytes on a caller's connection. The handler must see only
// requests with a host, must not panic, and everything that is written back must be
// responses.
func FuzzRequests(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"HEAD / HTTP/1.0\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "\r\n\r\n", "GET / HTTP/1.1\r\nHost : h\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		server := &caller.Server{
			Limits: func() caller.Limits {
				return caller.Limits{HeaderBytes: 1 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second}
			},
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.ProtoAtLeast(1, 1) && r.Host == "" {
					t.Errorf("a request without a host reached the handler: %q", content)
				}
				_, _ = io.Copy(w, io.LimitReader(r.Body, 1<<10))
			}),
			Panicked: func(_ *http.Request, reason any) { t.Errorf("%v on %q", reason, content) },
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Skip(err)
		}
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Skip(err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
		_, _ = conn.Write(content)
		_ = conn.(*net.TCPConn).CloseWrite()
		written, _ := io.ReadAll(conn)
		checkResponses(t, content, written)
	})
}

// checkResponses checks that bytes are a sequence of responses, of which the last may be
// cut.
func checkResponses(t *testing.T, content, written []byte) {
	reader := bufio.NewReader(bytes.NewReader(written))
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		// The method decides only whether a body follows, and the fuzzed one is not known.
		response, err := http.ReadResponse(reader, nil)
		if err == io.ErrUnexpectedEOF {
			return
		}
		if err != nil {
			if bytes.Contains(content, []byte("HEAD")) {
				return
			}
			t.Fatalf("%q is written back to %q: %v", written, content, err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return
		}
	}
}
