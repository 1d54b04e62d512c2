// Package peer carries messages between the daemons of a deployment: one yamux
// session per pair of VMs, opened when needed and closed when idle.
//
// Small requests and their responses share one long-lived stream. Control
// messages have another, so that requests do not delay them. A body that is large
// or of unknown length has a stream of its own. docs/design gives the reasons.
package peer

import (
	"context"
	"io"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
)

// ProtocolVersion is the version of the peer protocol. Both sides refuse a session
// with a peer of another version.
const ProtocolVersion = 1

// Peer identifies one incarnation of a VM.
type Peer struct {
	VM          string
	Incarnation string
}

// ControlSender sends control messages to VMs. Messages to this VM itself are
// delivered without a session.
type ControlSender interface {
	// Send queues a message and returns at once. The message is lost if the
	// peer cannot be reached; the caller must repeat messages that have to arrive.
	Send(vm string, message *peerv1.Control)
	// Call sends a message and waits for its reply or the end of the context. An
	// error is always a *SendError.
	Call(ctx context.Context, vm string, message *peerv1.Control) (*peerv1.Control, error)
}

// ControlHandler handles control messages. A non-nil result is sent back as the
// reply. It must not block; a handler that cannot reply at once returns nil and
// sends the reply later, with ReplyTo set to the Call of the message.
type ControlHandler func(from Peer, message *peerv1.Control) *peerv1.Control

// RequestSender sends requests to dispatchers on other VMs.
type RequestSender interface {
	// Do sends a request to the dispatcher on a VM and waits for its response.
	// body is nil unless request.BodyFollows. The returned body is non-nil only
	// if response.BodyFollows; it ends with io.EOF only if it is complete, and
	// the caller closes it. An error is always a *SendError.
	Do(ctx context.Context, vm string, request *peerv1.Request, body io.Reader) (*peerv1.Response, io.ReadCloser, error)
}

// SendError is the error of a request or control call that got no response.
type SendError struct {
	VM string
	// Sent is set if the request may have reached the peer. If it is not, the
	// request did not run.
	Sent  bool
	Cause error
}

// Error describes the failure.
func (e *SendError) Error() string {
	if e.Sent {
		return "no response from VM " + e.VM + " to a message that it may have received: " + e.Cause.Error()
	}
	return "nothing was sent to VM " + e.VM + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// RequestHandler handles the requests that are sent to the dispatcher of this VM.
type RequestHandler interface {
	// Serve handles one request; it runs on a goroutine of its own. body is nil
	// unless request.BodyFollows. The context ends when the sender cancels the
	// request or the session is lost. The returned body is sent after the
	// response if response.BodyFollows, and closed.
	Serve(ctx context.Context, from Peer, request *peerv1.Request, body io.Reader) (*peerv1.Response, io.ReadCloser)
}
