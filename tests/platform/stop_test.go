package platform_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/deployment"
)

// pipeliner sends requests on one connection without a pause, whether or not the former
// ones have been answered, until the connection ends.
type pipeliner struct {
	name string
	// request returns the text of the next request in parts; there is a pause of gap after
	// each of them but the last.
	request func(attempt string) []string
	gap     time.Duration
	// window bounds the requests without an answer.
	window int

	mu sync.Mutex
	// sent holds when the last byte of each attempt was written.
	sent     map[string]time.Time
	answered map[string]int
	closed   bool
	statuses map[int]int
}

func (p *pipeliner) run(address string) error {
	p.sent, p.answered, p.statuses = map[string]time.Time{}, map[string]int{}, map[int]int{}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	slots := make(chan struct{}, p.window)
	var done sync.WaitGroup
	done.Go(func() { p.receive(conn, slots) })
	defer done.Wait()
	for n := 0; ; n++ {
		slots <- struct{}{}
		attempt := fmt.Sprintf("%s-%d", p.name, n)
		parts := p.request(attempt)
		for i, part := range parts {
			if i > 0 {
				time.Sleep(p.gap)
			}
			if _, err := io.WriteString(conn, part); err != nil {
				return nil
			}
		}
		p.mu.Lock()
		p.sent[attempt] = time.Now()
		closed := p.closed
		p.mu.Unlock()
		if closed {
			return nil
		}
	}
}

// receive reads the answers, which come in the order of the requests.
func (p *pipeliner) receive(conn net.Conn, slots chan struct{}) {
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		p.mu.Lock()
		if err == nil {
			p.answered[fmt.Sprintf("%s-%d", p.name, n)] = response.StatusCode
			p.statuses[response.StatusCode]++
		}
		p.closed = err != nil || response.Close
		closed := p.closed
		p.mu.Unlock()
		<-slots
		if closed {
			_ = conn.Close()
			// Lets the sender go on until it sees that the connection is closed.
			for {
				select {
				case <-slots:
				case <-time.After(time.Second):
					return
				}
			}
		}
	}
}

func get(path string) func(string) []string {
	return func(attempt string) []string {
		return []string{"GET " + path + " HTTP/1.1\r\nHost: " + deployment.Host + "\r\nAttempt-Id: " + attempt + "\r\nRequest-Deadline: 2500\r\n\r\n"}
	}
}

// TestStopAnswersWhatItPassesOn: callers that pipeline without a pause, that send their
// heads or bodies in parts, and that come late in the grace, while a VM stops. The process
// ends in time, and each request that reached a server has an answer; what is not passed
// on has a refusal or was sent behind the answer that closed its connection.
func TestStopAnswersWhatItPassesOn(t *testing.T) {
	for name, load := range map[string]int{"calm": 1, "beside load": 6} {
		t.Run(name, func(t *testing.T) { stopUnderPipelining(t, load) })
	}
}

func stopUnderPipelining(t *testing.T, copies int) {
	d := startWorking(t, 2, 150*time.Millisecond)
	vm := d.VMs[0]
	var all []*pipeliner
	add := func(p *pipeliner) {
		p.name = fmt.Sprintf("p%d", len(all))
		all = append(all, p)
	}
	for range copies {
		add(&pipeliner{window: 8, request: get("/read/x")})
		add(&pipeliner{window: 40, request: get("/read/x")})
		// Its head arrives in parts, so that one is being read all the time.
		add(&pipeliner{window: 3, gap: 120 * time.Millisecond, request: func(attempt string) []string {
			text := get("/read/x")(attempt)[0]
			return []string{text[:1], text[1:20], text[20:]}
		}})
		add(&pipeliner{window: 2, gap: 60 * time.Millisecond, request: func(attempt string) []string {
			return []string{
				"POST /once/x HTTP/1.1\r\nHost: " + deployment.Host + "\r\nAttempt-Id: " + attempt + "\r\nRequest-Deadline: 2500\r\nContent-Length: 6\r\n\r\nab", "cd", "ef",
			}
		}})
	}
	var done sync.WaitGroup
	for _, p := range all {
		done.Go(func() { assert.Check(t, p.run(vm.Callers)) })
	}
	time.Sleep(time.Second)
	var ended atomic.Bool
	stopping := time.Now()
	done.Go(func() {
		assert.Check(t, vm.Stop(stopBound))
		ended.Store(true)
	})
	done.Wait()
	assert.Assert(t, ended.Load())
	t.Logf("the process ended after %s", time.Since(stopping))
	ran := freeRuns(d)
	for _, p := range all {
		t.Logf("%s: %d sent, %v", p.name, len(p.sent), p.statuses)
		late := 0
		for attempt, at := range p.sent {
			status, answered := p.answered[attempt]
			if answered && (status == 200 || status == 502 || status == 504) == (ran[attempt] == 0) {
				assert.Check(t, status != 200 && status != 503, "%s has status %d and ran %d times", attempt, status, ran[attempt])
			}
			if answered {
				continue
			}
			assert.Check(t, ran[attempt] == 0, "%s, sent %s after the stop began, ran and has no answer", attempt, at.Sub(stopping))
			late++
		}
		assert.Check(t, late <= p.window+1, "%s: %d requests have no answer, of which %d can have been sent behind the last one", p.name, late, p.window+1)
	}
}
