package peer

import (
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
)

// maxControlQueue bounds the control messages that wait for a peer. Above it
// the oldest is dropped: a later message of the same kind carries newer state.
const maxControlQueue = 1024

// controlQueue holds control messages for one peer.
type controlQueue struct {
	mu       sync.Mutex
	messages []*peerv1.Control
	closed   bool
	wake     chan struct{}
	dropped  *atomic.Int64
}

func newControlQueue(dropped *atomic.Int64) *controlQueue {
	return &controlQueue{wake: make(chan struct{}, 1), dropped: dropped}
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
	case q.wake <- struct{}{}:
	default:
	}
}

// take returns everything queued.
func (q *controlQueue) take() (messages []*peerv1.Control, open bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	messages, q.messages = q.messages, nil
	return messages, !q.closed
}

// close ends run and returns what was never written.
func (q *controlQueue) close() []*peerv1.Control {
	q.mu.Lock()
	q.closed = true
	left := q.messages
	q.messages = nil
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return left
}

// run writes the queued messages until the output fails or the queue is closed.
func (q *controlQueue) run(out io.Writer, sent *atomic.Int64) error {
	var buffer []byte
	for range q.wake {
		messages, open := q.take()
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
		if cap(buffer) > keptBuffer {
			buffer = nil
		}
	}
	return nil
}

// firstCalls is the number of call numbers from which a process draws its first: too
// many for two processes of a VM to meet, in few bytes.
const firstCalls = 1 << 48

// calls holds the control calls that wait for a reply, by call number. Numbers
// are those of one process, so a reply finds its call on whatever session it comes,
// and one to a former process of this VM finds none.
type calls struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]*controlCall
}

type controlCall struct {
	vm    string
	reply chan callResult
}

type callResult struct {
	reply *peerv1.Control
	err   error
}

func newCalls() *calls {
	return &calls{last: rand.Uint64N(firstCalls), waiting: make(map[uint64]*controlCall)}
}

// begin numbers a new call to a peer.
func (c *calls) begin(vm string) (uint64, *controlCall) {
	call := &controlCall{vm: vm, reply: make(chan callResult, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	c.waiting[c.last] = call
	return c.last, call
}

// end removes a call; nil if it has ended before.
func (c *calls) end(number uint64) *controlCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.waiting[number]
	delete(c.waiting, number)
	return call
}

// complete hands a reply to its call and reports whether anybody waited for it.
func (c *calls) complete(reply *peerv1.Control) bool {
	call := c.end(reply.ReplyTo)
	if call == nil {
		return false
	}
	call.reply <- callResult{reply: reply}
	return true
}

// fail ends every call to a peer.
func (c *calls) fail(vm string, cause error) {
	c.mu.Lock()
	var lost []*controlCall
	for number, call := range c.waiting {
		if call.vm == vm {
			lost = append(lost, call)
			delete(c.waiting, number)
		}
	}
	c.mu.Unlock()
	for _, call := range lost {
		call.reply <- callResult{err: cause}
	}
}

// waitingFor reports whether a call to the peer is under way.
func (c *calls) waitingFor(vm string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.waiting {
		if call.vm == vm {
			return true
		}
	}
	return false
}
