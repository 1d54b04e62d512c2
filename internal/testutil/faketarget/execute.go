package faketarget

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
)

// serveRequest runs an ordinary request or refuses it as not run.
func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request) {
	work, refusal := t.admit(r)
	if refusal != "" {
		t.refuse(w, r, refusal)
		return
	}
	digest := sha256.New()
	length, bodyErr := io.Copy(digest, r.Body)
	interrupted := bodyErr != nil || !t.work(r.Context(), work)
	t.finish(work, func(e *Execution) {
		e.BodyBytes, e.BodyDigest = length, hex.EncodeToString(digest.Sum(nil))
		e.BodyComplete, e.Canceled = bodyErr == nil, interrupted
	})
	work.interrupted = interrupted
	answer(w, work)
}

// work is a request inside the target.
type work struct {
	index       int
	requestID   string
	key         string
	incarnation string
	service     time.Duration
	deadline    time.Time
	cold        bool
	overloaded  bool
	fault       Fault
	answerBytes int
	chunked     bool
	// interrupted is set if the work was ended before its time.
	interrupted bool
}

// admit records the start of an execution, or returns why the request is
// refused, as a value of HeaderNotRun.
func (t *Target) admit(r *http.Request) (*work, string) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	refusal := t.refusal(r, now)
	if refusal != "" {
		t.record.Refused[refusal]++
		return nil, refusal
	}
	w := t.newWork(r)
	t.enter(w)
	w.index = len(t.record.Executions)
	t.record.LastStart = now
	execution := Execution{
		RequestID: w.requestID, Incarnation: w.incarnation, Method: r.Method, URI: r.RequestURI,
		Key: w.key, Fence: number(r, target.HeaderFence), Epoch: number(r, target.HeaderEpoch),
		Start: now, Cold: w.cold,
	}
	t.record.Executions = append(t.record.Executions, execution)
	if err := t.journal.write(&execution); err != nil {
		panic("faketarget: the journal cannot be written: " + err.Error())
	}
	return w, ""
}

// refusal returns why a request may not run now; the lock is held.
func (t *Target) refusal(r *http.Request, now time.Time) string {
	s := &t.settings
	latest, deadline := moment(r, target.HeaderLatestStart), moment(r, target.HeaderDeadline)
	switch {
	case !s.IgnoresDeadlines && (passed(latest, now) || passed(deadline, now)):
		return "late"
	case s.Leaving && s.RefusesWhenLeaving:
		return "draining"
	case !t.grants.allows(r.Header.Get(target.HeaderKey), number(r, target.HeaderFence), number(r, target.HeaderEpoch), s.Grants, s.ChecksFences, now):
		return "fenced"
	case s.ShedAbove > 0 && t.record.Inside >= s.ShedAbove:
		return "shed"
	case t.isCold() && s.Cold.Sheds && t.record.Inside >= s.Cold.Slots:
		t.record.ColdExceeded++
		return "cold"
	}
	return ""
}

func (t *Target) newWork(r *http.Request) *work {
	s := &t.settings
	base := s.ServiceMillis
	if s.Exponential {
		base *= t.random.ExpFloat64()
	}
	if own, err := strconv.ParseFloat(r.Header.Get(HeaderServiceMillis), 64); err == nil {
		base = own
	}
	w := &work{
		requestID: r.Header.Get(target.HeaderRequestID), key: r.Header.Get(target.HeaderKey),
		incarnation: s.Incarnation, cold: t.isCold(), chunked: s.Chunked, answerBytes: s.AnswerBytes,
		fault: Fault(r.Header.Get(HeaderFault)),
	}
	if !s.IgnoresDeadlines {
		w.deadline = moment(r, target.HeaderDeadline)
	}
	if bytes, err := strconv.Atoi(r.Header.Get(HeaderAnswerBytes)); err == nil {
		w.answerBytes = bytes
	}
	t.answers++
	if s.FaultEvery > 0 && t.answers%s.FaultEvery == 0 {
		w.fault = s.Fault
	}
	w.overloaded = w.cold && t.record.Inside >= s.Cold.Slots
	w.service = s.serviceTime(time.Duration(base*float64(time.Millisecond)), w.cold, w.overloaded)
	return w
}

// enter counts a request in and checks the target's bounds; the lock is held.
func (t *Target) enter(w *work) {
	if w.overloaded {
		t.record.ColdExceeded++
	}
	if t.settings.Slots > 0 && t.record.Inside >= t.settings.Slots {
		t.record.SlotsExceeded++
	}
	t.record.Inside++
	t.record.MaxInside = max(t.record.MaxInside, t.record.Inside)
	if w.cold {
		t.record.MaxInsideCold = max(t.record.MaxInsideCold, t.record.Inside)
	}
}

// work waits for a slot and holds it for the service time. It reports false if
// the sender went away or the deadline passed.
func (t *Target) work(ctx context.Context, w *work) bool {
	if w.fault == FaultLate {
		ctx = context.Background()
	} else if !w.deadline.IsZero() {
		bounded, cancel := context.WithDeadline(ctx, w.deadline)
		defer cancel()
		ctx = bounded
	}
	if !t.takeSlot(ctx) {
		return false
	}
	defer t.freeSlot()
	timer := time.NewTimer(w.service)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) takeSlot(ctx context.Context) bool {
	stop := context.AfterFunc(ctx, t.slotFreed.Broadcast)
	defer stop()
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.settings.Slots > 0 && t.running >= t.settings.Slots {
		if ctx.Err() != nil {
			return false
		}
		t.slotFreed.Wait()
	}
	t.running++
	return true
}

func (t *Target) freeSlot() {
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
	t.slotFreed.Signal()
}

// finish records the end of an execution.
func (t *Target) finish(w *work, describe func(*Execution)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record.Inside--
	execution := &t.record.Executions[w.index]
	execution.End = time.Now()
	describe(execution)
	if !w.overloaded {
		t.warmAnswers++
	}
}

func number(r *http.Request, header string) uint64 {
	value, _ := strconv.ParseUint(r.Header.Get(header), 10, 64)
	return value
}

// moment reads a header with milliseconds since the Unix epoch; zero if absent.
func moment(r *http.Request, header string) time.Time {
	millis, err := strconv.ParseInt(r.Header.Get(header), 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}

func passed(limit, now time.Time) bool { return !limit.IsZero() && now.After(limit) }
