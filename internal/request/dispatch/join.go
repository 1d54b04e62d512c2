package dispatch

import (
	"container/list"
	"context"
	"io"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
)

const (
	// replayTime is how long the result of a request with an Idempotency-Key is
	// kept for duplicates.
	replayTime = time.Minute
	// maxReplays bounds the number of results kept.
	maxReplays = 4096
	// maxReplayBytes bounds the bytes of all results kept.
	maxReplayBytes = 8 << 20
)

// joinKey identifies requests that are duplicates of each other.
type joinKey struct {
	service        string
	key            string
	idempotencyKey string
}

// joinTable makes requests with one Idempotency-Key share the run of the first.
// It lives in one dispatcher; a handover or a loss empties it.
type joinTable struct {
	mu    sync.Mutex
	calls map[joinKey]*joinedCall
	// finished holds the calls whose results are kept, oldest first.
	finished *list.List
	bytes    int
}

// joinedCall is the run of the first request.
type joinedCall struct {
	key joinKey
	// fingerprint tells a duplicate from a different request under the same key.
	fingerprint uint64
	// waiting counts the callers that still want the result.
	waiting int
	cancel  context.CancelFunc
	// done is closed when response is set.
	done       chan struct{}
	response   *peerv1.Response
	size       int
	finishedAt time.Time
}

func newJoinTable() *joinTable {
	return &joinTable{calls: map[joinKey]*joinedCall{}, finished: list.New()}
}

// serveJoined runs a request, or gives it the result of the first request with
// its Idempotency-Key.
func (d *Dispatcher) serveJoined(ctx context.Context, request *peerv1.Request, body io.Reader, deadline time.Time) result {
	if request.IdempotencyKey == "" || request.BodyFollows {
		return d.run(ctx, request, body, deadline)
	}
	call, first := d.joins.join(request, deadline)
	if call.fingerprint != fingerprintOf(request) {
		d.joins.leave(call)
		return refused(&refusal{reason: outcome.BadRequest})
	}
	if !first.leads {
		return d.joins.await(ctx, call)
	}
	return d.lead(ctx, first.ctx, call, request, deadline)
}

// leadership is given to the first request of a call. Its context ends when no
// caller wants the result any more, or at the first request's deadline.
type leadership struct {
	leads bool
	ctx   context.Context
}

// join enters a request into its call, which it begins if there is none.
func (j *joinTable) join(request *peerv1.Request, deadline time.Time) (*joinedCall, leadership) {
	key := joinKey{service: request.Service, key: request.Key, idempotencyKey: request.IdempotencyKey}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.evict(time.Now())
	if call := j.calls[key]; call != nil {
		call.waiting++
		return call, leadership{}
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	call := &joinedCall{
		key: key, fingerprint: fingerprintOf(request), waiting: 1, cancel: cancel, done: make(chan struct{}),
	}
	j.calls[key] = call
	return call, leadership{leads: true, ctx: ctx}
}

// leave withdraws a caller; the run ends when nobody wants its result.
func (j *joinTable) leave(call *joinedCall) {
	j.mu.Lock()
	defer j.mu.Unlock()
	call.waiting--
	if call.waiting == 0 {
		call.cancel()
	}
}

// lead runs the first request of a call and shares its result.
func (d *Dispatcher) lead(callerCtx, runCtx context.Context, call *joinedCall, request *peerv1.Request, deadline time.Time) result {
	stop := context.AfterFunc(callerCtx, func() { d.joins.leave(call) })
	done := d.run(runCtx, request, nil, deadline)
	d.joins.finish(call, &done, request.Idempotent)
	leave := func() {
		if stop() {
			d.joins.leave(call)
		}
	}
	if done.body != nil {
		done.body = &closingBody{ReadCloser: done.body, after: leave}
	} else {
		leave()
	}
	return done
}

// await returns the shared result, or Unknown if the caller stops waiting: the
// first request may run.
func (j *joinTable) await(ctx context.Context, call *joinedCall) result {
	defer j.leave(call)
	select {
	case <-call.done:
		return result{response: proto.Clone(call.response).(*peerv1.Response), joined: true}
	case <-ctx.Done():
		joined := unknown(contextReason(ctx))
		joined.joined = true
		return joined
	}
}

// finish shares the result with the duplicates. It is kept for later ones
// unless the request may safely run again: it did not run, or it is idempotent
// and its outcome is unknown.
func (j *joinTable) finish(call *joinedCall, done *result, idempotent bool) {
	shared := done.response
	if done.body != nil {
		shared = unknown(outcome.AnswerNotKept).response
	}
	kind := outcome.FromWire(shared.Outcome)
	keep := kind == outcome.Answered || kind == outcome.Unknown && !idempotent
	j.mu.Lock()
	defer j.mu.Unlock()
	call.response = proto.Clone(shared).(*peerv1.Response)
	close(call.done)
	if !keep {
		delete(j.calls, call.key)
		return
	}
	call.size, call.finishedAt = proto.Size(shared), time.Now()
	j.bytes += call.size
	j.finished.PushBack(call)
	j.evict(time.Now())
}

// evict drops results that are too old or too many. The lock is held.
func (j *joinTable) evict(now time.Time) {
	for front := j.finished.Front(); front != nil; front = j.finished.Front() {
		call := front.Value.(*joinedCall)
		tooOld := now.Sub(call.finishedAt) >= replayTime
		if !tooOld && j.finished.Len() <= maxReplays && j.bytes <= maxReplayBytes {
			return
		}
		j.finished.Remove(front)
		j.bytes -= call.size
		delete(j.calls, call.key)
	}
}

// fingerprintOf condenses what has to be equal in duplicates.
func fingerprintOf(request *peerv1.Request) uint64 {
	hash := xxh3.New()
	for _, part := range []string{request.Method, request.Uri} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(request.Body)
	return hash.Sum64()
}
