package target_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
)

// TestEarlierRefusalIsNoAnswer: a refusal of an earlier request, written once more,
// is never taken for the answer to the next one, whenever it comes.
func TestEarlierRefusalIsNoAnswer(t *testing.T) {
	type moments struct{ glued, idle, before, between string }
	for _, status := range []string{"408 Request Timeout", "421 Misdirected Request", "429 Too Many Requests", "503 Service Unavailable"} {
		for name, id := range map[string]string{"of the last": target.HeaderRequestID + ": a\r\n", "of another": target.HeaderRequestID + ": x\r\n", "without id": ""} {
			refusal := "HTTP/1.1 " + status + "\r\nNot-Executed: 1\r\n" + id + "Content-Length: 4\r\n\r\nfull"
			half := len(refusal) / 2
			for when, m := range map[string]moments{
				"glued":               {glued: refusal},
				"idle":                {idle: refusal},
				"before":              {before: refusal},
				"in parts":            {before: refusal[:half], between: refusal[half:]},
				"glued and in parts":  {glued: refusal[:half], before: refusal[half:]},
				"three times":         {before: refusal + refusal + refusal},
				"a head without body": {before: strings.Replace(refusal, "4\r\n\r\nfull", "0\r\n\r\n", 1)},
			} {
				for _, answered := range []bool{true, false} {
					t.Run(fmt.Sprint(status, name, when, answered), func(t *testing.T) {
						t.Parallel()
						pool := strayPool(t, func(socket *net.TCPConn) {
							in := bufio.NewReader(socket)
							for earlier := false; ; earlier = true {
								id, err := readRequest(in)
								if err != nil {
									return
								}
								if !earlier && id != "a" && answered {
									_, _ = io.WriteString(socket, whole(id))
									continue
								}
								if id == "a" {
									_, _ = io.WriteString(socket, whole("a")+m.glued)
									time.Sleep(5 * time.Millisecond)
									_, _ = io.WriteString(socket, m.idle)
									continue
								}
								_, _ = io.WriteString(socket, m.before)
								time.Sleep(5 * time.Millisecond)
								_, _ = io.WriteString(socket, m.between)
								if !answered {
									return
								}
								_, _ = io.WriteString(socket, whole(id))
							}
						})
						_, _, err := exchangeOnce(testContext(t), t, pool, newRequest("a", "", ""))
						assert.NilError(t, err)
						if m.idle != "" {
							time.Sleep(15 * time.Millisecond)
						}
						answer, body, err := exchangeOnce(testContext(t), t, pool, newRequest("b", "", "body"))
						if !answered {
							handedWithoutAnswer(t, err)
							return
						}
						assert.NilError(t, err)
						assert.Equal(t, answer.Status, http.StatusOK)
						assert.Equal(t, body, "b")
					})
				}
			}
		}
	}
}

// TestStrayAnswerToAHeadRequestIsNotReadPast: whether it has a body is not known, and
// one could hold what looks like the answer.
func TestStrayAnswerToAHeadRequestIsNotReadPast(t *testing.T) {
	pool := strayPool(t, func(socket *net.TCPConn) {
		id, _ := readRequest(bufio.NewReader(socket))
		forged := whole(id)
		_, _ = io.WriteString(socket, head("another", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(forged), forged)))
	})
	request := newRequest("a", "", "")
	request.Method = http.MethodHead
	_, _, err := exchangeOnce(testContext(t), t, pool, request)
	handedWithoutAnswer(t, err)
}

// TestAnswerThatNamesTwoRequestsIsNone: which of them it is for is not known.
func TestAnswerThatNamesTwoRequestsIsNone(t *testing.T) {
	for _, ids := range [][2]string{{"a", "x"}, {"x", "a"}} {
		pool := strayPool(t, func(socket *net.TCPConn) {
			_, _ = readRequest(bufio.NewReader(socket))
			_, _ = io.WriteString(socket, head(ids[0], target.HeaderRequestID+": "+ids[1], "Content-Length: 1\r\n\r\nb"))
		})
		_, _, err := exchangeOnce(testContext(t), t, pool, newRequest("a", "", ""))
		handedWithoutAnswer(t, err)
	}
}
