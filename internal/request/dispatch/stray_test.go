package dispatch_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/rawserver"
)

// rawAnswer is an answer to a request without a body.
func rawAnswer(status, id, headers string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: first\r\n%sContent-Length: 0\r\n\r\n",
		status, target.HeaderRequestID, id, target.HeaderIncarnation, headers)
}

// TestRefusalWrittenAgainIsNotThatOfTheRepeat: entries send a request that was
// refused again under its id.
func TestRefusalWrittenAgainIsNotThatOfTheRepeat(t *testing.T) {
	var refused, runs atomic.Int64
	address := rawserver.Listen(t, func(socket *net.TCPConn) {
		in := bufio.NewReader(socket)
		for earlier := ""; ; {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			id := request.Header.Get(target.HeaderRequestID)
			switch {
			case id == "":
				_, _ = io.WriteString(socket, rawAnswer("200 OK", "", ""))
			case refused.Add(1) == 1:
				earlier = rawAnswer("503 Service Unavailable", id, target.HeaderNotRun+": shed\r\n")
				_, _ = io.WriteString(socket, earlier)
			default:
				runs.Add(1)
				_, _ = io.WriteString(socket, earlier+rawAnswer("200 OK", id, ""))
			}
		}
	})
	f := newFixture(t, address, nil)
	request := f.request(nil)
	assert.Equal(t, f.serve(request).kind(), outcome.NotRun)
	again := f.serve(f.request(func(r *peerv1.Request) { r.RequestId = request.RequestId }))
	assert.Equal(t, runs.Load(), int64(1))
	assert.Assert(t, again.kind() != outcome.NotRun, "%s", again.Reason)
}
