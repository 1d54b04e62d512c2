package target_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/rawserver"
)

// TestCutHeadBeforeTheAnswerIsNoPartOfIt checks that nothing of another answer, whose head
// is cut off after any byte, ends up in the answer that follows it on the connection.
func TestCutHeadBeforeTheAnswerIsNoPartOfIt(t *testing.T) {
	id := target.HeaderRequestID + ": x\r\n"
	for name, cut := range map[string]string{
		"refusal, id last":     "HTTP/1.1 503 Service Unavailable\r\n" + target.HeaderNotRun + ": shed\r\nServer-Load: 3,0,8\r\n" + id + "Content-Length: 4\r\n\r\nfull",
		"refusal, id first":    "HTTP/1.1 503 Service Unavailable\r\n" + id + target.HeaderNotRun + ": shed\r\nServer-Load: 3,0,8\r\nContent-Length: 0\r\n\r\n",
		"refusal without id":   "HTTP/1.1 421 Misdirected Request\r\nRetry-After: 1\r\nTrailer: T\r\nTransfer-Encoding: chunked\r\n\r\n4;e=f\r\nfull\r\n0\r\nT: u\r\n\r\n",
		"informational answer": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
	} {
		for _, options := range []target.PoolOptions{strayOptions, target.DefaultPoolOptions} {
			options.Probe, options.DialTimeout = false, testTimeout
			t.Run(fmt.Sprint(name, options.SkipStray), func(t *testing.T) {
				for n := range len(cut) {
					pool := target.NewPoolWithOptions(rawserver.Listen(t, func(socket *net.TCPConn) {
						id, _ := readRequest(bufio.NewReader(socket))
						_, _ = io.WriteString(socket, cut[:n]+completeAnswer(id))
					}), 1, options)
					answer, body, err := exchangeOnce(testContext(t), t, pool, newRequest("a", "", ""))
					pool.Close()
					if answer == nil {
						assertSentWithoutAnswer(t, err)
						continue
					}
					assert.Equal(t, answer.Status, http.StatusOK, "earlier answer cut off after %q", cut[:n])
					assert.Equal(t, answer.Header.Get(target.HeaderNotRun), "", "earlier answer cut off after %q", cut[:n])
					assert.Equal(t, body, "a", "earlier answer cut off after %q", cut[:n])
					assert.NilError(t, err)
				}
			})
		}
	}
}

// TestCutHeadOfTheAnswerTakesNothingFromTheNext checks that an answer whose head is cut off
// after any byte is not completed by another answer that follows it.
func TestCutHeadOfTheAnswerTakesNothingFromTheNext(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\n" + target.HeaderNotRun + ": shed\r\n" + target.HeaderRequestID + ": x\r\nContent-Length: 0\r\n\r\n"
	cut := strings.TrimSuffix(answerHead("a", "Keep-Alive: timeout=10\r\n\r\n"), "\n")
	for n := range len(cut) {
		pool := strayPool(t, func(socket *net.TCPConn) {
			_, _ = readRequest(bufio.NewReader(socket))
			_, _ = io.WriteString(socket, cut[:n]+refusal)
		})
		answer, _, err := exchangeOnce(testContext(t), t, pool, newRequest("a", "", ""))
		assert.Assert(t, answer == nil, "answer cut off after %q was accepted", cut[:n])
		assertSentWithoutAnswer(t, err)
	}
}
