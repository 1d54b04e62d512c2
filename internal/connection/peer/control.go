package peer

import (
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
)

// maxControlQueue is the maximum number of control messages queued for a peer.
// When the queue is full the oldest is dropped: a later message of the same kind
// carries newer state.
const maxControlQueue = 1024

// controlQueue queues the control messages of one session until run writes them.
type controlQueue struct {
	mu       sync.Mutex
	messages []*peerv1.Control
	closed   bool
	notify   chan struct{}
	dropped  *atomic.Int64
}

func newControlQueue(dropped *atomic.Int64) *controlQueue {
	return &controlQueue{notify: make(chan struct{}, 1), dropped: dropped}
}

// add queues a message, dropping the oldest if the queue is full.
func (q *controlQueue) add(message *peerv1.Control) {
	q.mu.Lock()
	if len(q.messages) >= maxControlQueue {
		q.messages = append(q.messages[:0], q.messages[1:]...)
		q.dropped.Add(1)
	}
	q.messages = append(q.messages, message)
	q.mu.Unlock()
	select {
	case q.notify <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all queued messages. open is false once the queue is
// closed.
func (q *controlQueue) takeAll() (messages []*peerv1.Control, open bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	messages, q.messages = q.messages, nil
	return messages, !q.closed
}

// close ends run and returns the messages that were still queued.
func (q *controlQueue) close() []*peerv1.Control {
	q.mu.Lock()
	q.closed = true
	unsent := q.messages
	q.messages = nil
	q.mu.Unlock()
	select {
	case q.notify <- struct{}{}:
	default:
	}
	return unsent
}

// run writes the queued messages until a write fails or the queue is closed. It
// adds the bytes written to sent.
func (q *controlQueue) run(out io.Writer, sent *atomic.Int64) error {
	var buffer []byte
	for range q.notify {
		messages, open := q.takeAll()
		if !open {
			return errWriterClosed
		}
		buffer = buffer[:0]
		for _, message := range messages {
			frame, err := appendFrame(buffer, message)
			if err != nil {
				q.dropped.Add(1)
				continue
			}
			buffer = frame
		}
		if len(buffer) == 0 {
			continue
		}
		if _, err := out.Write(buffer); err != nil {
			return err
		}
		sent.Add(int64(len(buffer)))
		if cap(buffer) > maxReusedBuffer {
			buffer = nil
		}
	}
	return nil
}

// firstCallRange is the exclusive upper bound of the random first call number of a
// process. It is so large that two processes of a VM are very unlikely to use the
// same numbers, and small enough for a short varint.
const firstCallRange = 1 << 48

// pendingCalls holds the control calls that wait for a reply, by call number. The
// numbers belong to this process, not to a session: a reply is matched on whichever
// session it arrives, and a reply to a previous process of this VM matches no call.
type pendingCalls struct {
	mu         sync.Mutex
	lastNumber uint64
	waiting    map[uint64]*controlCall
}

type controlCall struct {
	// session is the one that the call was sent on; nil before, and for a call to this VM.
	session *session
	reply   chan callResult
}

type callResult struct {
	reply *peerv1.Control
	err   error
}

func newPendingCalls() *pendingCalls {
	return &pendingCalls{lastNumber: rand.Uint64N(firstCallRange), waiting: make(map[uint64]*controlCall)}
}

// begin registers a new call and returns its number.
func (c *pendingCalls) begin() (uint64, *controlCall) {
	call := &controlCall{reply: make(chan callResult, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	c.waiting[c.lastNumber] = call
	return c.lastNumber, call
}

// sentOn records the session that a call is sent on.
func (c *pendingCalls) sentOn(call *controlCall, s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call.session = s
}

// end removes and returns a call; nil if it has already ended.
func (c *pendingCalls) end(number uint64) *controlCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.waiting[number]
	delete(c.waiting, number)
	return call
}

// complete passes a reply to its call and reports whether the call still waited.
func (c *pendingCalls) complete(reply *peerv1.Control) bool {
	call := c.end(reply.ReplyTo)
	if call == nil {
		return false
	}
	call.reply <- callResult{reply: reply}
	return true
}

// failOn ends all calls that were sent on a session with an error.
func (c *pendingCalls) failOn(s *session, cause error) {
	c.mu.Lock()
	var failed []*controlCall
	for number, call := range c.waiting {
		if call.session == s {
			failed = append(failed, call)
			delete(c.waiting, number)
		}
	}
	c.mu.Unlock()
	for _, call := range failed {
		call.reply <- callResult{err: cause}
	}
}

// hasCallOn reports whether a call that was sent on a session waits for a reply.
func (c *pendingCalls) hasCallOn(s *session) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.waiting {
		if call.session == s {
			return true
		}
	}
	return false
}
