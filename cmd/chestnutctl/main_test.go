package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/api/operatorv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/distribution"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
)

// fakeServer is a fake of the operators' API. It answers each path with a fixed
// status and body, and records the body of the last request.
type fakeServer struct {
	url string

	mu        sync.Mutex
	responses map[string]response
	lastBody  []byte
}

type response struct {
	status int
	body   any
}

func startServer(t *testing.T) *fakeServer {
	s := &fakeServer{responses: map[string]response{}}
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := new(bytes.Buffer)
		_, _ = body.ReadFrom(r.Body)
		s.mu.Lock()
		s.lastBody = body.Bytes()
		found, ok := s.responses[r.Method+" "+r.URL.RequestURI()]
		s.mu.Unlock()
		if !ok {
			t.Errorf("unexpected request %s %s", r.Method, r.URL)
		}
		if found.status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(found.status)
		_ = json.NewEncoder(w).Encode(found.body)
	}))
	t.Cleanup(listener.Close)
	s.url = listener.URL
	return s
}

// setResponse sets the response to a method and path; status 0 closes the
// connection without a response.
func (s *fakeServer) setResponse(path string, status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses[path] = response{status, body}
}

// execute runs a command line against the server. An unreachable server is named
// before it, so that each call fails over to the second address.
func (s *fakeServer) execute(args ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	code = run(append([]string{"--server", "http://127.0.0.1:1", "--server", s.url}, args...), &out, &errOut)
	return code, out.String(), errOut.String()
}

const exampleFile = "../../examples/division.json"

func TestHelpNamesCommandsAndExitCodes(t *testing.T) {
	var out bytes.Buffer
	assert.Equal(t, run([]string{"--help"}, &out, &out), exitDone)
	for _, expected := range []string{"manifest submit", "manifest status", "route", "drain", "restore", "3 conflict"} {
		assert.Assert(t, strings.Contains(out.String(), expected), "%s is missing", expected)
	}
}

func TestWrongCommandLineIsInvalid(t *testing.T) {
	for _, args := range [][]string{{"bogus"}, {"route"}, {"drain", "zone", "a"}, {"manifest", "submit", exampleFile}} {
		code, _, stderr := startServer(t).execute(args...)
		assert.Equal(t, code, exitInvalid)
		assert.Assert(t, strings.Contains(stderr, "--help"), stderr)
	}
}

func TestValidatePrintsEveryProblem(t *testing.T) {
	s := startServer(t)
	code, stdout, _ := s.execute("manifest", "validate", exampleFile)
	assert.Equal(t, code, exitDone)
	assert.Equal(t, stdout, "the manifest is valid\n")
	broken := filepath.Join(t.TempDir(), "manifest.json")
	assert.NilError(t, os.WriteFile(broken, []byte(`{"formt":1,"targets":5}`), 0o600))
	code, stdout, _ = s.execute("manifest", "validate", broken)
	assert.Equal(t, code, exitInvalid)
	assert.Equal(t, strings.Count(stdout, "\n"), 2, stdout)
	code, stdout, _ = s.execute("--output", "json", "manifest", "validate", broken)
	assert.Equal(t, code, exitInvalid)
	var result validation
	assert.NilError(t, json.Unmarshal([]byte(stdout), &result))
	assert.Equal(t, len(result.Problems), 2)
}

func TestSubmit(t *testing.T) {
	s := startServer(t)
	s.setResponse("POST /manifest", http.StatusOK, operatorv1.Accepted{Version: 12})
	code, stdout, _ := s.execute("manifest", "submit", "--replaces", "11", "--operation", "op", exampleFile)
	assert.Equal(t, code, exitDone)
	assert.Equal(t, stdout, "accepted as version 12\n")
	var sent operatorv1.Submission
	assert.NilError(t, json.Unmarshal(s.lastBody, &sent))
	assert.Equal(t, sent.Replaces, int64(11))
	assert.Equal(t, sent.OperationID, "op")
	_, err := manifest.Decode(sent.Manifest)
	assert.NilError(t, err)
}

func TestErrorsHaveTheirExitCodes(t *testing.T) {
	s := startServer(t)
	for kind, expected := range map[fault.Kind]int{
		fault.Invalid: exitInvalid, fault.Conflict: exitConflict, fault.Refused: exitRefused,
		fault.Unavailable: exitUnavailable, fault.UnknownOutcome: exitUnknown, fault.NotFound: exitNotFound,
	} {
		s.setResponse("POST /drain", http.StatusConflict, operatorv1.Error{Kind: kind, Message: "what", Remedy: "remedy"})
		code, _, stderr := s.execute("drain", "vm", "vm-1")
		assert.Equal(t, code, expected)
		assert.Assert(t, strings.Contains(stderr, "what; remedy"), stderr)
	}
	s.setResponse("POST /drain", 0, nil)
	code, _, stderr := s.execute("drain", "vm", "vm-1", "--operation", "op-7")
	assert.Equal(t, code, exitUnknown, "a change without an answer")
	assert.Assert(t, strings.Contains(stderr, "--operation op-7"), stderr)
	s.setResponse("GET /targets", 0, nil)
	code, _, _ = s.execute("targets")
	assert.Equal(t, code, exitUnavailable, "a read without an answer")
}

func TestStatusNamesTheMissingVMs(t *testing.T) {
	s := startServer(t)
	status := distribution.Status{ManifestVersion: 4, InForce: 1, Total: 2, VMs: []distribution.VMStatus{
		{VM: "vm-1", Answered: true, InForce: true, ManifestVersion: 4, Ready: true}, {VM: "vm-2"},
	}}
	s.setResponse("GET /manifest/status?version=4", http.StatusOK, status)
	code, stdout, stderr := s.execute("manifest", "status", "--version", "4")
	assert.Equal(t, code, exitNotInForce)
	assert.Assert(t, strings.Contains(stdout, "in force on 1 of 2 VMs"), stdout)
	assert.Assert(t, strings.Contains(stderr, "missing: vm-2"), stderr)
	s.setResponse("POST /restore", http.StatusOK, operatorv1.Accepted{Version: 4})
	code, _, _ = s.execute("restore", "target", "booking-01", "--wait", "300ms")
	assert.Equal(t, code, exitNotInForce)
	status.InForce = 2
	s.setResponse("GET /manifest/status?version=4", http.StatusOK, status)
	code, _, _ = s.execute("restore", "target", "booking-01", "--wait", "300ms")
	assert.Equal(t, code, exitDone)
}

func TestRouteIsPrinted(t *testing.T) {
	s := startServer(t)
	s.setResponse("GET /routes?key=pump-7&service=availability-board", http.StatusOK, operatorv1.Route{
		Explanation: "because", Slice: &operatorv1.Slice{Owner: "t-1", Fence: 3}, Target: &operatorv1.Target{Dispatcher: "vm-3"},
	})
	code, stdout, _ := s.execute("route", "pump-7", "--service", "availability-board")
	assert.Equal(t, code, exitDone)
	for _, expected := range []string{"because", "t-1 at fence 3", "vm-3"} {
		assert.Assert(t, strings.Contains(stdout, expected), stdout)
	}
	code, stdout, _ = s.execute("-o", "json", "route", "pump-7", "--service", "availability-board")
	assert.Equal(t, code, exitDone)
	assert.Assert(t, json.Valid([]byte(stdout)))
}
