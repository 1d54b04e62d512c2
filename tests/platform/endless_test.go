package platform_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/deployment"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/fencetarget"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/rawserver"
)

const (
	// endlessTime is for how long servers answer without end.
	endlessTime = 5 * time.Second
	// memoryLimit is the memory of a VM in the deployment's settings, in bytes.
	memoryLimit = 200 << 20
)

// endlessAnswers are the beginnings of answers to an attempt, each with a text that is then
// repeated until the caller closes the connection.
func endlessAnswers(attempt string) [][2]string {
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: " + fencetarget.Seal(attempt) + "\r\n"
	return [][2]string{
		{"", "no answer "},
		{"HTTP/1.1 200 ", "x"},
		{"HTTP/1.1 200 OK\r\nA: ", "x"},
		{"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{head + "\r\n", "x"},
		{head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		{head + "Content-Length: 4\r\n\r\nbody", "x"},
	}
}

// serveEndless answers each request with bytes without end, in another place of the answer each
// time.
func serveEndless(t *testing.T) string {
	var count atomic.Int64
	return rawserver.Listen(t, func(socket *net.TCPConn) {
		request, err := http.ReadRequest(bufio.NewReader(socket))
		if err != nil {
			return
		}
		answers := endlessAnswers(request.Header.Get("Attempt-Id"))
		answer := answers[int(count.Add(1))%len(answers)]
		_, err = io.WriteString(socket, answer[0])
		for again := strings.Repeat(answer[1], 16<<10/len(answer[1])); err == nil; {
			_, err = io.WriteString(socket, again)
		}
	})
}

// TestAnswersWithoutEndTakeNoMemory checks that servers which send bytes without end, in
// answers to requests or to orders, neither use up a VM's memory nor disturb the requests
// for other services.
func TestAnswersWithoutEndTakeNoMemory(t *testing.T) {
	for name, c := range map[string]struct{ endless, path, otherPath string }{
		"requests": {"free", "/read/x", "/keyed/x"},
		"orders":   {"keyed", "/keyed/x", "/read/x"},
	} {
		t.Run(name, func(t *testing.T) {
			d := start(t, 2)
			for i := range serversEach {
				d.Target(fmt.Sprintf("%s-%d", c.endless, i)).Link.Redirect(serveEndless(t))
			}
			other := send(t, d.VMs, c.otherPath, 10*time.Millisecond)
			var callers sync.WaitGroup
			end := time.Now().Add(endlessTime)
			for n := range 20 {
				callers.Go(func() { askUntil(end, d.VMs[n%len(d.VMs)], c.path, n) })
			}
			callers.Wait()
			assert.Equal(t, len(failures(other.end())), 0)
			for _, vm := range d.VMs {
				assert.Equal(t, vm.Ended(), "", "%s", vm.Name)
				peak := peakMemory(t, vm.Pid())
				t.Logf("%s had %d MiB at most", vm.Name, peak>>20)
				assert.Assert(t, peak < memoryLimit, "%s had %d MiB at most", vm.Name, peak>>20)
			}
		})
	}
}

// askUntil sends requests one after the other and drops what they are answered.
func askUntil(end time.Time, vm *deployment.VM, path string, caller int) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; time.Now().Before(end); n++ {
		request, err := http.NewRequest(http.MethodGet, "http://"+vm.Callers+path, nil)
		if err != nil {
			panic(err)
		}
		request.Host = deployment.Host
		request.Header.Set("Attempt-Id", fmt.Sprintf("endless-%d-%d", caller, n))
		request.Header.Set("Request-Deadline", "800")
		request.Header.Set("Shard-Key", strconv.Itoa(n*deployment.KeyStep%65536))
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		time.Sleep(10 * time.Millisecond)
	}
}

var peakLine = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMemory returns the most memory that a process has had, in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	found := peakLine.FindSubmatch(status)
	assert.Assert(t, found != nil)
	kilobytes, err := strconv.ParseInt(string(found[1]), 10, 64)
	assert.NilError(t, err)
	return kilobytes << 10
}
