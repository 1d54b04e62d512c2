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

// TestEarlierRefusalIsNoAnswer checks that a duplicated refusal of an earlier request is
// never taken for the answer to the next request, whenever it arrives.
func TestEarlierRefusalIsNoAnswer(t *testing.T) {
	// moments holds the bytes that the target sends directly after its answer to the
	// earlier request, while the connection is idle, and before its answer to the next
	// request in two parts.
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
									_, _ = io.WriteString(socket, completeAnswer(id))
									continue
								}
								if id == "a" {
									_, _ = io.WriteString(socket, completeAnswer("a")+m.glued)
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
								_, _ = io.WriteString(socket, completeAnswer(id))
							}
						})
						_, _, err := exchangeOnce(testContext(t), t, pool, newRequest("a", "", ""))
						assert.NilError(t, err)
						if m.idle != "" {
							time.Sleep(15 * time.Millisecond)
						}
						answer, body, err := exchangeOnce(testContext(t), t, pool, newRequest("b", "", "body"))
						if !answered {
							assertSentWithoutAnswer(t, err)
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

// TestStrayAnswerToAHeadRequestIsNotReadPast checks that a stray answer before the answer to
// a HEAD request is not skipped. It is unknown whether the stray answer has a body, and the
// body could contain what looks like the answer.
func TestStrayAnswerToAHeadRequestIsNotReadPast(t *testing.T) {
	pool := strayPool(t, func(socket *net.TCPConn) {
		id, _ := readRequest(bufio.NewReader(socket))
		forged := completeAnswer(id)
		_, _ = io.WriteString(socket, answerHead("another", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(forged), forged)))
	})
	request := newRequest("a", "", "")
	request.Method = http.MethodHead
	_, _, err := exchangeOnce(testContext(t), t, pool, request)
	assertSentWithoutAnswer(t, err)
}

// TestAnswerThatNamesTwoRequestsIsNone checks that an answer with two request IDs is rejected,
// because it is unknown which request it is for.
func TestAnswerThatNamesTwoRequestsIsNone(t *testing.T) {
	for _, ids := range [][2]string{{"a", "x"}, {"x", "a"}} {
		pool := strayPool(t, func(socket *net.TCPConn) {
			_, _ = readRequest(bufio.NewReader(socket))
			_, _ = io.WriteString(socket, answerHead(ids[0], target.HeaderRequestID+": "+ids[1], "Content-Length: 1\r\n\r\nb"))
		})
		_, _, err := exchangeOnce(testContext(t), t, pool, newRequest("a", "", ""))
		assertSentWithoutAnswer(t, err)
	}
}

// TestEarlierRefusalInAnyFormIsNoAnswer checks that a duplicated refusal of an earlier request
// is not taken for the answer, whether it is sent before or after the target has read the
// body of the next request. If its end can be determined, the answer that follows is found.
func TestEarlierRefusalInAnyFormIsNoAnswer(t *testing.T) {
	const begin = "503 Service Unavailable\r\nNot-Executed: 1\r\n" + target.HeaderNotRun + ": shed\r\n"
	id := target.HeaderRequestID + ": x\r\n"
	twice := strings.ToLower(target.HeaderRequestID) + ": a\r\n" + strings.ToUpper(target.HeaderRequestID) + ": "
	for name, c := range map[string]struct {
		refusal string
		// answered is set if the answer that follows the refusal must be found.
		answered bool
	}{
		"chunked":                   {"HTTP/1.1 " + begin + id + "Transfer-Encoding: chunked\r\n\r\n4;e=f\r\nfull\r\n0\r\nT: u\r\n\r\n", true},
		"chunked, cut in a chunk":   {"HTTP/1.1 " + begin + id + "Transfer-Encoding: chunked\r\n\r\n4\r\nfu", false},
		"chunked, cut in a size":    {"HTTP/1.1 " + begin + id + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n1", false},
		"chunked, cut between":      {"HTTP/1.1 " + begin + id + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n", false},
		"chunked, cut in trailers":  {"HTTP/1.1 " + begin + id + "Transfer-Encoding: chunked\r\n\r\n0\r\nT: ", false},
		"body cut":                  {"HTTP/1.1 " + begin + id + "Content-Length: 4\r\n\r\nfu", false},
		"longer than its length":    {"HTTP/1.1 " + begin + id + "Content-Length: 2\r\n\r\nfull", false},
		"without length":            {"HTTP/1.1 " + begin + id + "\r\n", false},
		"closing":                   {"HTTP/1.1 " + begin + id + "Connection: close\r\nContent-Length: 4\r\n\r\nfull", true},
		"HTTP/1.0":                  {"HTTP/1.0 " + begin + id + "Content-Length: 4\r\n\r\nfull", false},
		"HTTP/1.0 kept":             {"HTTP/1.0 " + begin + id + "Connection: keep-alive\r\nContent-Length: 4\r\n\r\nfull", false},
		"HTTP/1.0 without body":     {"HTTP/1.0 " + begin + id + "Content-Length: 0\r\n\r\n", false},
		"HTTP/1.0 without length":   {"HTTP/1.0 " + begin + id + "\r\nfull", false},
		"HTTP/1.0 without id":       {"HTTP/1.0 " + begin + "Content-Length: 4\r\n\r\nfull", false},
		"id in lower case":          {"HTTP/1.1 " + begin + strings.ToLower(id) + "Content-Length: 4\r\n\r\nfull", true},
		"id in upper case":          {"HTTP/1.1 " + begin + strings.ToUpper(id) + "Content-Length: 4\r\n\r\nfull", true},
		"id of the last, upper":     {"HTTP/1.1 " + begin + target.HeaderRequestID + ": A\r\nContent-Length: 4\r\n\r\nfull", true},
		"id twice":                  {"HTTP/1.1 " + begin + id + id + "Content-Length: 4\r\n\r\nfull", true},
		"both ids":                  {"HTTP/1.1 " + begin + twice + "b\r\nContent-Length: 4\r\n\r\nfull", true},
		"both ids in one header":    {"HTTP/1.1 " + begin + target.HeaderRequestID + ": b, a\r\nContent-Length: 4\r\n\r\nfull", true},
		"id folded":                 {"HTTP/1.1 " + begin + target.HeaderRequestID + ": b\r\n a\r\nContent-Length: 4\r\n\r\nfull", true},
		"behind informational ones": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 " + begin + id + "Content-Length: 4\r\n\r\nfull", true},
		"an empty line behind it":   {"HTTP/1.1 " + begin + id + "Content-Length: 4\r\n\r\nfull\r\n", false},
	} {
		for _, early := range []bool{false, true} {
			t.Run(fmt.Sprint(name, early), func(t *testing.T) {
				t.Parallel()
				pool := strayPool(t, func(socket *net.TCPConn) {
					in := bufio.NewReader(socket)
					if id, err := readRequest(in); err != nil || id != "a" {
						return
					}
					_, _ = io.WriteString(socket, completeAnswer("a"))
					request, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if early {
						_, _ = io.WriteString(socket, c.refusal)
						time.Sleep(5 * time.Millisecond)
					}
					_, _ = io.Copy(io.Discard, request.Body)
					if !early {
						_, _ = io.WriteString(socket, c.refusal)
					}
					_, _ = io.WriteString(socket, completeAnswer("b"))
					if !strings.Contains(name, "cut") {
						// Keep the connection open, as targets do.
						_, _ = readRequest(in)
					}
				})
				_, _, err := exchangeOnce(testContext(t), t, pool, newRequest("a", "", ""))
				assert.NilError(t, err)
				exchange, err := pool.Reserve(testContext(t))
				assert.NilError(t, err)
				ctx := testContext(t)
				answer, err := exchange.Do(ctx, newRequest("b", "", strings.Repeat("body", 100_000)), true)
				if answer == nil {
					assertSentWithoutAnswer(t, err)
					assert.Assert(t, !c.answered, "%v", err)
					assert.NilError(t, ctx.Err(), "the exchange lasted until its deadline")
					return
				}
				body, err := io.ReadAll(answer.Body)
				assert.NilError(t, err)
				assert.Equal(t, answer.Status, http.StatusOK)
				assert.Equal(t, string(body), "b")
				assert.Assert(t, c.answered)
			})
		}
	}
}
