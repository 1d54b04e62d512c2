package peer

import (
	"context"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
)

// Send implements ControlSender.
func (t *Transport) Send(vm string, message *peerv1.Control) {
	if t.isSelf(vm) {
		t.sendLocal(message)
		return
	}
	l := t.link(vm)
	if l.isOwnAddress.Load() {
		t.sendLocal(message)
		return
	}
	if s := l.usableSession(); s != nil {
		s.sendControl(message)
		return
	}
	t.sendOrQueue(l, message)
}

// sendOrQueue sends a message on another usable session, or queues it and opens
// a session. The queue is dropped if no session can be opened.
func (t *Transport) sendOrQueue(l *link, message *peerv1.Control) {
	if s := l.reselect(); s != nil {
		s.sendControl(message)
		return
	}
	if t.queueControl(l, message) {
		return
	}
	if _, err := t.dial(l); err != nil {
		t.dropQueue(l)
	}
}

// queueControl queues a message for the next session. If a session has opened
// meanwhile, it sends the message there and reports true.
func (t *Transport) queueControl(l *link, message *peerv1.Control) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.usableSession(); s != nil {
		s.sendControl(message)
		return true
	}
	if len(l.queue) >= maxControlQueue {
		l.queue = append(l.queue[:0], l.queue[1:]...)
		t.stats.controlDropped.Add(1)
	}
	l.queue = append(l.queue, message)
	return false
}

// dropQueue drops the queued messages unless a dial is in progress.
func (t *Transport) dropQueue(l *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dialing != nil {
		return
	}
	t.stats.controlDropped.Add(int64(len(l.queue)))
	l.queue = nil
}

// Call implements ControlSender. It sets message.Call.
func (t *Transport) Call(ctx context.Context, vm string, message *peerv1.Control) (*peerv1.Control, error) {
	number, call := t.calls.begin()
	defer t.calls.end(number)
	message.Call = number
	if t.isSelf(vm) {
		t.sendLocal(message)
	} else {
		s, err := t.sessionTo(ctx, vm)
		if err != nil {
			return nil, &SendError{VM: vm, Cause: err}
		}
		t.calls.sentOn(call, s)
		s.sendControl(message)
		if s.currentState() == sessionClosed {
			// It may have closed before the call was known to wait for it.
			t.calls.failOn(s, errCallLost)
		}
	}
	select {
	case r := <-call.reply:
		if r.err != nil {
			return nil, &SendError{VM: vm, Sent: true, Cause: r.err}
		}
		return r.reply, nil
	case <-ctx.Done():
		return nil, &SendError{VM: vm, Sent: true, Cause: context.Cause(ctx)}
	}
}

// sendLocal delivers a message to this VM itself, and the handler's reply as well.
func (t *Transport) sendLocal(message *peerv1.Control) {
	if reply := t.receiveControl(t.config.Self, message); reply != nil {
		t.receiveControl(t.config.Self, reply)
	}
}

// receiveControl passes a reply to the call that waits for it, and any other
// message to the handler. It returns the handler's reply; nil if there is none.
func (t *Transport) receiveControl(from Peer, message *peerv1.Control) *peerv1.Control {
	if message.ReplyTo != 0 {
		if !t.calls.complete(message) {
			t.stats.unmatched.Add(1)
		}
		return nil
	}
	reply := t.config.Control(from, message)
	if reply != nil && reply.ReplyTo == 0 {
		reply.ReplyTo = message.Call
	}
	return reply
}
