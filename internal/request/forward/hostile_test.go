package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/fencetarget"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/rawserver"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// byteScript is what a faulty target writes in response to a request, byte for byte.
type byteScript struct {
	// beforeBody is written before the request's body is read, afterBody afterwards.
	beforeBody, afterBody string
	// repeated is then written over and over until the connection is closed.
	repeated string
	// keepOpen leaves the connection open at the end, reset resets it; it is closed
	// otherwise.
	keepOpen, reset bool
	// notRun is set if the target does not run the request.
	notRun bool
	// responseExpected is set if the caller must get the target's response.
	responseExpected bool
}

// rawTarget follows its script for requests whose attempt ID begins with "a". It responds to
// all others as a target without faults does.
type rawTarget struct {
	script byteScript
	runs   atomic.Int64
}

func (f *fixture) addRaw(t *testing.T, id string, script byteScript) *rawTarget {
	raw := &rawTarget{script: script}
	address := rawserver.Listen(t, func(socket *net.TCPConn) { raw.serve(socket, id) })
	f.targets = append(f.targets, fencetarget.New(fencetarget.Settings{ID: id}))
	f.view.Targets[id] = &fleet.Target{
		Life: fleet.Life{ID: id, Born: 1}, Service: "s", Address: address, FailureDomain: "a", Slots: 2,
	}
	return raw
}

func (r *rawTarget) serve(socket *net.TCPConn, id string) {
	in := bufio.NewReader(socket)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		attempt := request.Header.Get("Attempt-Id")
		if !strings.HasPrefix(attempt, "a") {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(socket, completeResponse(id, attempt))
			continue
		}
		if !r.script.notRun {
			r.runs.Add(1)
		}
		if r.script.beforeBody != "" {
			_, _ = io.WriteString(socket, r.script.beforeBody)
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = io.Copy(io.Discard, request.Body)
		// The first repeated bytes are written together with the response: between two writes
		// the response is complete, and the next request could follow on the connection.
		text := strings.Repeat(r.script.repeated, 100)
		_, err = io.WriteString(socket, r.script.afterBody+text)
		for err == nil && text != "" {
			_, err = io.WriteString(socket, text)
		}
		if r.script.reset {
			time.Sleep(20 * time.Millisecond)
			_ = socket.SetLinger(0)
		}
		if !r.script.keepOpen {
			return
		}
	}
}

// completeResponse returns the complete response of a target to an attempt.
func completeResponse(id, attempt string) string {
	return responseHead(attempt) + "Content-Length: " + fmt.Sprint(len(fencetarget.Body(id, attempt))) + "\r\n\r\n" + fencetarget.Body(id, attempt)
}

// responseHead returns the beginning of the head of a response to an attempt.
func responseHead(attempt string) string {
	return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: " + fencetarget.Seal(attempt) + "\r\n"
}

// refusalResponse returns a response, with the body "full", that states that an
// attempt did not run.
func refusalResponse(attempt string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + attempt + "\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
}

// byteScripts returns what the faulty target t0 writes in response to the attempt a1,
// by the name of the fault.
func byteScripts() map[string]byteScript {
	own, earlier, refusal := completeResponse("t0", "a1"), refusalResponse("earlier"), refusalResponse("a1")
	chunked := strings.Replace(refusal, "Content-Length: 4\r\n\r\nfull", "Transfer-Encoding: chunked\r\n\r\n", 1)
	status := func(text, status string) string { return strings.Replace(text, "200 OK", status, 1) }
	asHTTP10 := func(text string) string { return strings.Replace(text, "HTTP/1.1", "HTTP/1.0", 1) }
	const informational = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	all := map[string]byteScript{
		"earlier refusal before the body":        {beforeBody: earlier, afterBody: own, keepOpen: true, responseExpected: true},
		"earlier refusal after a continue":       {beforeBody: "HTTP/1.1 100 Continue\r\n\r\n" + earlier, afterBody: own, keepOpen: true, responseExpected: true},
		"half a refusal before the body":         {beforeBody: earlier[:40], afterBody: earlier[40:] + own, keepOpen: true, responseExpected: true},
		"earlier refusal after the answer":       {afterBody: own + earlier, keepOpen: true, responseExpected: true},
		"half a refusal after the answer":        {afterBody: own + earlier[:40], keepOpen: true, responseExpected: true},
		"earlier refusal and no answer":          {beforeBody: earlier, keepOpen: true},
		"earlier refusal, then the end":          {beforeBody: earlier},
		"earlier refusal, then a reset":          {beforeBody: earlier, reset: true},
		"earlier refusal without id":             {beforeBody: strings.Replace(earlier, "Attempt-Id: earlier\r\n", "", 1), afterBody: own, keepOpen: true, responseExpected: true},
		"earlier refusal of HTTP/1.0":            {beforeBody: asHTTP10(earlier), afterBody: own, keepOpen: true},
		"earlier refusal without length":         {beforeBody: strings.Replace(earlier, "Content-Length: 4\r\n", "", 1), afterBody: own, keepOpen: true},
		"earlier refusal without end":            {beforeBody: strings.Replace(earlier, "Content-Length: 4\r\n\r\nfull", "\r\n", 1), repeated: "full"},
		"earlier chunked refusal, cut":           {beforeBody: strings.Replace(chunked, "a1", "earlier", 1) + "4\r\nfu", afterBody: own, keepOpen: true},
		"answer, then the body is read":          {beforeBody: own, keepOpen: true, responseExpected: true},
		"refusal":                                {afterBody: refusal, keepOpen: true, notRun: true},
		"refusal before the body":                {beforeBody: refusal, keepOpen: true, notRun: true},
		"refusal before the body, then the end":  {beforeBody: refusal, reset: true, notRun: true},
		"refusal, twice":                         {afterBody: refusal + refusal, keepOpen: true, notRun: true},
		"refusal, chunked and cut":               {afterBody: chunked + "4\r\nfu", notRun: true},
		"refusal, chunked and without end":       {afterBody: chunked, repeated: "4\r\nfull\r\n", notRun: true},
		"refusal without end":                    {afterBody: strings.Replace(refusal, "Content-Length: 4\r\n", "", 1), repeated: "full", notRun: true},
		"refusal of HTTP/1.0":                    {afterBody: asHTTP10(refusal), notRun: true},
		"refusal of HTTP/1.0 without length":     {afterBody: asHTTP10(strings.Replace(refusal, "Content-Length: 4\r\n", "", 1)), notRun: true},
		"refusal, id twice":                      {afterBody: strings.Replace(refusal, "Not-", "attempt-id: a1\r\nNot-", 1), notRun: true},
		"refusal, two ids":                       {afterBody: strings.Replace(refusal, "Not-", "ATTEMPT-ID: earlier\r\nNot-", 1)},
		"refusal without its statement":          {afterBody: strings.Replace(refusal, "Not-Executed: 1\r\n", "", 1), keepOpen: true},
		"refusal without its statement or end":   {afterBody: strings.Replace(strings.Replace(refusal, "Not-Executed: 1\r\n", "", 1), "Content-Length: 4\r\n", "", 1), repeated: "full"},
		"refusal, cut in its statement":          {afterBody: refusal[:strings.Index(refusal, "Executed")]},
		"refusal, cut before its last line ends": {afterBody: strings.SplitAfter(refusal, "Length: 4\r\n")[0]},
		"redirect without end":                   {afterBody: status(responseHead("a1"), "302 Found") + "Location: /x\r\n\r\n", repeated: "more"},
		"no content, and bytes without end":      {afterBody: status(responseHead("a1"), "204 No Content") + "\r\n", repeated: "more"},
		"not modified, and bytes without end":    {afterBody: status(responseHead("a1"), "304 Not Modified") + "\r\n", repeated: "more"},
		"informational heads, then the answer":   {afterBody: strings.Repeat(informational, 200) + own, keepOpen: true, responseExpected: true},
		"informational heads without end":        {afterBody: "", repeated: informational},
		"informational heads, then the end":      {afterBody: strings.Repeat(informational, 20)},
		"informational refusal":                  {afterBody: "HTTP/1.1 103 Early Hints\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\n\r\n"},
		"status 000":                             {afterBody: status(own, "000 None"), keepOpen: true},
		"status 000 without length":              {afterBody: status(responseHead("a1"), "000 None") + "\r\nbody"},
		"refusal of status 000":                  {afterBody: strings.Replace(refusal, "503", "000", 1), keepOpen: true},
		"no seal":                                {afterBody: "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n\r\n"},
		"no seal, with a length":                 {afterBody: "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 0\r\n\r\n", keepOpen: true},
		"no seal nor content":                    {afterBody: "HTTP/1.1 204 No Content\r\nAttempt-Id: a1\r\n\r\n", keepOpen: true},
		"an empty seal, in chunks":               {afterBody: "HTTP/1.1 201 Created\r\nAttempt-Id: a1\r\nServer-Seal:\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		"chunks, cut":                            {afterBody: responseHead("a1") + "Transfer-Encoding: chunked\r\n\r\n4\r\nansw\r\n"},
		"chunks of HTTP/1.0, cut":                {afterBody: asHTTP10(responseHead("a1")) + "Transfer-Encoding: chunked\r\n\r\n4\r\nansw\r\n"},
	}
	for _, at := range []string{"HTTP/1.1", "200 OK", "OK\r", "OK\r\n", "Attempt-", "Attempt-Id:", ": a1", "a1\r", "a1\r\n", "Server-Seal: se", "Content-Length", "Content-Length: 1"} {
		cut := own[:strings.Index(own, at)+len(at)]
		all[fmt.Sprintf("head cut after %q", at)] = byteScript{afterBody: cut}
		all[fmt.Sprintf("head cut after %q and reset", at)] = byteScript{afterBody: cut, reset: true}
		all[fmt.Sprintf("head cut after %q and kept", at)] = byteScript{afterBody: cut, keepOpen: true}
		all[fmt.Sprintf("head cut after %q, and an earlier refusal", at)] = byteScript{afterBody: cut + earlier}
		all[fmt.Sprintf("head folded after %q and cut", at)] = byteScript{afterBody: cut + "\r\n "}
		all[fmt.Sprintf("old head cut after %q", at)] = byteScript{afterBody: asHTTP10(cut)}
	}
	return all
}

// TestNoBytesOfATargetMakeAPromise checks that no bytes of a target make the caller
// believe that a request did not run when it did, or in a response that the target did
// not give. The caller gets the complete response or a failure, and the failure
// promises that the request did not run only if no target ran it.
func TestNoBytesOfATargetMakeAPromise(t *testing.T) {
	for name, script := range byteScripts() {
		for path, body := range map[string]string{"/once/": strings.Repeat("b", 3000), "/upload/": strings.Repeat("b", 300_000), "/safe/": ""} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				f := startFixture(t)
				raw := f.addRaw(t, "t0", script)
				f.addTarget(t, "t1", "")
				for i := range f.view.Config.Routes {
					f.view.Config.Routes[i].Timeout = eventTimeout
				}
				method := http.MethodPost
				if body == "" {
					method = http.MethodGet
				}
				deadline := 800 * time.Millisecond
				if script.responseExpected {
					deadline = eventTimeout
				}
				assert.Equal(t, f.sendFirst(t, eventTimeout, method, path, "before", body).body, fencetarget.Body("t0", "before"))
				got := f.sendFirst(t, deadline, method, path, "a1", body)
				runs := int(raw.runs.Load()) + len(f.targets[1].Runs())
				f.checkPromise(t, got, runs, path != "/safe/", script)
				assert.Equal(t, f.sendFirst(t, eventTimeout, method, path, "then", body).body, fencetarget.Body("t0", "then"))
			})
		}
	}
}

// sendFirst sends a request whose first permit is for t0.
func (f *fixture) sendFirst(t *testing.T, deadline time.Duration, method, path, attempt, body string) callerResponse {
	f.mu.Lock()
	f.next = 0
	f.mu.Unlock()
	return f.sendWithin(t, deadline, method, path, attempt, body)
}

// checkPromise checks what the caller got for a request that ran the given number of
// times; once is set for requests that are not idempotent.
func (f *fixture) checkPromise(t *testing.T, got callerResponse, runs int, once bool, script byteScript) {
	t.Helper()
	if once {
		assert.Assert(t, runs <= 1, "%d runs", runs)
	}
	assert.Assert(t, got.status/100 != 2 || got.header.Get("Server-Seal") == fencetarget.Seal("a1"), "success response without its signature: %+v", got)
	switch got.status {
	case http.StatusOK:
		whole := got.body == fencetarget.Body("t0", "a1") || got.body == fencetarget.Body("t1", "a1")
		assert.Assert(t, whole || got.err != nil, "response looks complete but is not: %+v", got)
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		assert.Assert(t, !once || runs == 0, "status %d for a request that ran %d times", got.status, runs)
	}
	if script.responseExpected {
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, fencetarget.Body("t0", "a1"))
	}
}

// TestNothingFollowsAnAnswerThatBreaksOff checks that nothing is written to a caller's
// connection after a response that breaks off, even if the caller has pipelined further
// requests on it: without a response they count as not read.
func TestNothingFollowsAnAnswerThatBreaksOff(t *testing.T) {
	long := strings.Repeat("x", 200_000)
	for name, script := range map[string]byteScript{
		"length":           {afterBody: responseHead("a1") + "Content-Length: 300000\r\n\r\n" + long},
		"chunks":           {afterBody: responseHead("a1") + "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + long + "\r\n"},
		"no length, reset": {afterBody: responseHead("a1") + "\r\n" + long, reset: true},
		"without end":      {afterBody: responseHead("a1") + "\r\n", repeated: "more"},
		"chunks, an earlier refusal": {afterBody: responseHead("a1") + "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + long + "\r\n" +
			refusalResponse("earlier")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFixture(t)
			f.addRaw(t, "t0", script)
			conn, err := net.Dial("tcp", f.address)
			assert.NilError(t, err)
			defer conn.Close()
			for _, attempt := range []string{"first", "a1", "next", "last"} {
				_, err = fmt.Fprintf(conn, "GET /safe/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nRequest-Deadline: 400\r\n\r\n", attempt)
				assert.NilError(t, err)
			}
			in := bufio.NewReader(conn)
			answer, err := http.ReadResponse(in, nil)
			assert.NilError(t, err)
			content, err := io.ReadAll(answer.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(content), fencetarget.Body("t0", "first"))
			answer, err = http.ReadResponse(in, nil)
			assert.NilError(t, err)
			assert.Equal(t, answer.Header.Get("Attempt-Id"), "a1")
			_, err = io.Copy(io.Discard, answer.Body)
			assert.Assert(t, err != nil, "a response that broke off looks complete")
			rest, _ := io.ReadAll(in)
			assert.Equal(t, string(rest), "")
		})
	}
}
