// Package fencetarget is a stand-in for the users' servers in tests: it runs
// requests for keys that it holds, checks fences, lets grants run out, and fails
// in the ways in which those servers do.
package fencetarget

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Settings say how a target behaves; the zero value serves at once.
type Settings struct {
	ID string
	// Domain is the failure domain that its entry names; empty means "a".
	Domain string
	// Keyed targets run requests for keys that they hold only.
	Keyed bool
	// Slots is the number of requests that run at once; 0 means no limit.
	Slots int
	// Work is how long a request takes.
	Work time.Duration
	// Fault spoils the answers that it returns a word for: "reset", "short",
	// "extra", "crossed", "unframed", "unframed-reset", "refuse", "fail",
	// "silent" or "early"; "refusal", "refusal-parts" and "refusal-only" write an
	// earlier refusal once more and "refusal-cut" the beginning of one, "unstated"
	// answers 503 without a word that the request did not run, "head" stops in the
	// head, "endless", "endless-chunked" and "flood" write a body until the caller
	// closes, the last one as fast as it can, and "babble" writes on soon after a whole
	// answer.
	Fault func(r *http.Request) string
	// Notice, if set, returns headers that are added to answers and refusals.
	Notice func() map[string]string
	// Clock is how long a second of a hold lasts on the target's clock; 0 means 1 s.
	Clock float64
	// Late, if set, returns after how long a grant takes effect whose answer is lost; 0
	// means at once, with an answer.
	Late func() time.Duration
	// ColdFor is how long the target is cold after its start.
	ColdFor time.Duration
}

// Run is one request that a target began to work on.
type Run struct {
	Attempt, Method, Path, Body string
	Key                         int
	Header                      http.Header
	At                          time.Time
}

// Arrival is the arrival of a request, also of one that the target refused as full.
type Arrival struct {
	Attempt string
	At      time.Time
}

// Target is a target; it is an http.Handler.
type Target struct {
	Settings
	mu sync.Mutex
	// freed is signalled when a request ends.
	freed    *sync.Cond
	running  int
	working  map[int]int
	runs     []Run
	arrivals []Arrival
	grants   []grant
	takes    []Take
	stopped  bool
}

type grant struct {
	first, last int
	fence       uint64
	until       time.Time
}

// Take is a grant that a target has taken.
type Take struct {
	First, Last int
	Fence       uint64
	At          time.Time
	// Late is set if it took effect long after its arrival.
	Late bool
}

// New returns a target.
func New(settings Settings) *Target {
	t := &Target{Settings: settings, working: map[int]int{}}
	t.freed = sync.NewCond(&t.mu)
	return t
}

// Stop ends the target's process as far as grants are concerned that are under way.
func (t *Target) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
}

// Arrivals returns when requests arrived, without those for keys that the target does
// not hold and those for others.
func (t *Target) Arrivals() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Arrival(nil), t.arrivals...)
}

// Runs returns the requests that the target began to work on.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Takes returns the grants that the target has taken.
func (t *Target) Takes() []Take {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Take(nil), t.takes...)
}

// Holds reports whether the target holds a key now.
func (t *Target) Holds(key int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holds(key)
}

func (t *Target) holds(key int) bool {
	held := false
	for _, g := range t.grants {
		if g.first <= key && key <= g.last {
			held = time.Now().Before(g.until)
		}
	}
	return held
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/grant", "/release":
		t.order(w, r)
	case "/health":
		w.Header().Set("Instance-Id", t.ID)
	default:
		t.serve(w, r)
	}
}

type orderBody struct {
	StartKey int    `json:"startKey"`
	Target   int    `json:"target"`
	Fence    uint64 `json:"fence"`
	HoldTime string `json:"hold_time"`
}

func (t *Target) order(w http.ResponseWriter, r *http.Request) {
	if t.isForAnother(r) {
		t.refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	var body orderBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/release" {
		t.release(body)
		w.Header().Set("Duty-Handover", "handover-"+t.ID)
		return
	}
	hold, err := time.ParseDuration(body.HoldTime)
	if err != nil || hold > 10*time.Second {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if t.Clock != 0 {
		hold = time.Duration(float64(hold) * t.Clock)
	}
	until, late := time.Now().Add(hold), time.Duration(0)
	if t.Late != nil {
		late = t.Late()
	}
	time.Sleep(late)
	if !t.take(body, until, late > 0) {
		w.WriteHeader(http.StatusConflict)
	}
	if late > 0 {
		panic(http.ErrAbortHandler)
	}
}

// release ends new work on keys and waits for the present one.
func (t *Target) release(body orderBody) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(grant{body.StartKey, body.Target, body.Fence, time.Time{}})
	for t.worksOn(body.StartKey, body.Target) {
		t.freed.Wait()
	}
}

func (t *Target) worksOn(first, last int) bool {
	for key := range t.working {
		if first <= key && key <= last {
			return true
		}
	}
	return false
}

// take takes a grant unless a higher fence was seen on one of its keys.
func (t *Target) take(body orderBody, until time.Time, late bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return false
	}
	for _, g := range t.grants {
		if g.first <= body.Target && body.StartKey <= g.last && g.fence > body.Fence {
			return false
		}
	}
	t.add(grant{body.StartKey, body.Target, body.Fence, until})
	t.takes = append(t.takes, Take{body.StartKey, body.Target, body.Fence, time.Now(), late})
	return true
}

// Deliver takes an order of a former leader that was on its way: a grant for as long as the
// given hold.
func (t *Target) Deliver(order Take, hold time.Duration) {
	t.take(orderBody{StartKey: order.First, Target: order.Last, Fence: order.Fence}, time.Now().Add(hold), true)
}

// add adds a grant and drops those that it replaces.
func (t *Target) add(added grant) {
	t.grants = slices.DeleteFunc(t.grants, func(g grant) bool {
		return added.first <= g.first && g.last <= added.last && g.fence <= added.fence
	})
	t.grants = append(t.grants, added)
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if t.isForAnother(r) {
		t.refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	fault := ""
	if t.Fault != nil {
		fault = t.Fault(r)
	}
	key, _ := strconv.Atoi(r.Header.Get("Shard-Key"))
	if status := t.begin(r, key, string(body), fault); status != 0 {
		t.refuse(w, r, status)
		return
	}
	defer t.end(key)
	select {
	case <-time.After(t.Work):
	case <-r.Context().Done():
		return
	}
	if fault != "" {
		t.spoil(w, r, fault)
		return
	}
	t.answer(w, r.Header.Get("Attempt-Id"))
}

// isForAnother reports whether a request or order names another target.
func (t *Target) isForAnother(r *http.Request) bool {
	expected := r.Header.Get("Expected-Instance")
	return expected != "" && expected != t.ID
}

// begin starts a request, or returns the status with which it is refused.
func (t *Target) begin(r *http.Request, key int, body, fault string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Keyed && !t.holds(key) {
		return http.StatusMisdirectedRequest
	}
	t.arrivals = append(t.arrivals, Arrival{r.Header.Get("Attempt-Id"), time.Now()})
	if fault == "refuse" || t.Slots > 0 && t.running >= t.Slots {
		return http.StatusServiceUnavailable
	}
	t.running++
	t.working[key]++
	t.runs = append(t.runs, Run{
		Header:  r.Header,
		Attempt: r.Header.Get("Attempt-Id"), Method: r.Method, Path: r.URL.RequestURI(), Body: body, Key: key, At: time.Now(),
	})
	return 0
}

func (t *Target) end(key int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if t.working[key]--; t.working[key] == 0 {
		delete(t.working, key)
	}
	t.freed.Broadcast()
}

func (t *Target) refuse(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Not-Executed", "1")
	t.addNotice(w.Header())
	w.WriteHeader(status)
}

// Seal is the signature of a target's answers.
func Seal(attempt string) string { return "seal." + attempt }

// Body is the body of the answer to an attempt.
func Body(id, attempt string) string { return "answer of " + id + " to " + attempt }

// answer writes the answer; the connection goes on.
func (t *Target) answer(w http.ResponseWriter, attempt string) {
	body := Body(t.ID, attempt)
	header := w.Header()
	header["Content-Type"] = nil
	header.Set("Attempt-Id", attempt)
	header.Set("Server-Seal", Seal(attempt))
	header.Set("Server-Load", load)
	t.addNotice(header)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

func (t *Target) addNotice(h http.Header) {
	if t.Notice != nil {
		for name, value := range t.Notice() {
			h.Set(name, value)
		}
	}
}

// load is the targets' word on their load.
const load = "1,0,2,100"

// spoil writes the answer as the fault says on the raw connection, and closes it.
func (t *Target) spoil(w http.ResponseWriter, r *http.Request, fault string) {
	attempt := r.Header.Get("Attempt-Id")
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	text := message(attempt, Body(t.ID, attempt), true)
	switch fault {
	case "":
		// As servers do before they close a connection that is not idle.
		text = strings.Replace(text, "\r\n", "\r\nConnection: close\r\n", 1)
	case "reset":
		reset(conn)
		return
	case "silent":
		time.Sleep(10 * time.Second)
		return
	case "short":
		text = text[:len(text)-5]
	case "extra":
		text += message(attempt, "an answer too many", true)
	case "crossed":
		text = message("another", "of another request", true) + text
	case "refusal":
		text = earlierRefusal + text
	case "refusal-parts":
		text = earlierRefusal + text
		_, _ = io.WriteString(conn, text[:len(earlierRefusal)/2])
		time.Sleep(5 * time.Millisecond)
		text = text[len(earlierRefusal)/2:]
	case "unstated":
		text = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: " + Seal(attempt) +
			"\r\nContent-Length: 0\r\n\r\n"
	case "refusal-only":
		text = earlierRefusal
	case "refusal-cut":
		text = "HTTP/1.1 421 Misdirected Requ" + text
	case "head":
		text = strings.TrimSuffix(message(attempt, "", false), "\r\n")
	case "flood":
		writeOn(conn, message(attempt, "", false), strings.Repeat("x", 4<<10), 0)
		return
	case "endless":
		writeOn(conn, message(attempt, "", false), strings.Repeat("x", 4<<10), time.Millisecond)
		return
	case "endless-chunked":
		writeOn(conn, strings.Replace(message(attempt, "", false), "\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n", 1),
			"1000\r\n"+strings.Repeat("x", 4<<10)+"\r\n", time.Millisecond)
		return
	case "babble":
		_, _ = io.WriteString(conn, text)
		time.Sleep(50 * time.Millisecond)
		writeOn(conn, "", strings.Repeat("x", 4<<10), 0)
		return
	case "unframed":
		text = message(attempt, Body(t.ID, attempt), false)
	case "unframed-reset":
		_, _ = io.WriteString(conn, message(attempt, Body(t.ID, attempt), false))
		time.Sleep(20 * time.Millisecond)
		reset(conn)
		return
	case "fail":
		text = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: " + Seal(attempt) +
			"\r\nContent-Length: 6\r\n\r\nfailed"
	}
	_, _ = io.WriteString(conn, text)
}

// earlierRefusal is the refusal of a request that came before.
const earlierRefusal = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: earlier\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// writeOn writes begin, and again with pauses until the peer takes no more.
func writeOn(conn net.Conn, begin, again string, pause time.Duration) {
	_, err := io.WriteString(conn, begin)
	for err == nil {
		time.Sleep(pause)
		_, err = io.WriteString(conn, again)
	}
}

func message(attempt, body string, framed bool) string {
	text := "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: " + Seal(attempt) + "\r\nServer-Load: " + load + "\r\n"
	if framed {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

// reset closes a connection so that the peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
