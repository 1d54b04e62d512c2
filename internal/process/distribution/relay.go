package distribution

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
)

// Operations of a call to the store through a peer.
const (
	opGet    = "get"
	opPut    = "put"
	opDelete = "delete"
	opList   = "list"
	opWatch  = "watch"
)

const (
	// relayAttempts is the number of peers that a call is tried through.
	relayAttempts = 2
	// relayTimeout bounds a relayed call whose caller sets no deadline, and what
	// a peer spends on one.
	relayTimeout = 5 * time.Second
	// directMemory is how long a failure of the direct way sends calls to peers first.
	directMemory = 2 * time.Second
)

// Store returns the store by the direct way or, when the store cannot be
// reached from here, through a peer. Objects that are written through it are
// passed on to all nodes at once. The errors are those of store.Store; a write
// whose relay did not answer is an unknown outcome.
func (d *Distribution) Store() store.Store { return pathStore{d} }

// pathStore is the store by whichever way works.
type pathStore struct {
	d *Distribution
}

// Get implements store.Store.
func (s pathStore) Get(ctx context.Context, name string) (store.Object, error) {
	reply, err := s.do(ctx, &peerv1.StoreCall{Operation: opGet, Name: name})
	if err != nil {
		return store.Object{}, err
	}
	objects := objectsFromWire(reply.Objects)
	if len(objects) != 1 {
		return store.Object{}, fault.New(fault.Unavailable, "try again", "the answer to a read of %q has no object", name)
	}
	s.d.learnWritten(objects[0])
	return objects[0], nil
}

// Put implements store.Store.
func (s pathStore) Put(ctx context.Context, name string, value []byte, expected int64) (int64, error) {
	reply, err := s.do(ctx, &peerv1.StoreCall{Operation: opPut, Name: name, Value: value, ExpectedVersion: expected})
	if err != nil {
		return 0, err
	}
	s.d.learnWritten(store.Object{Name: name, Version: reply.Revision, Value: append([]byte(nil), value...)})
	return reply.Revision, nil
}

// Delete implements store.Store.
func (s pathStore) Delete(ctx context.Context, name string, expected int64) error {
	_, err := s.do(ctx, &peerv1.StoreCall{Operation: opDelete, Name: name, ExpectedVersion: expected})
	if err == nil {
		// The version of the deletion is not told; it is above the one deleted.
		s.d.learnWritten(store.Object{Name: name, Version: expected + 1, Deleted: true})
	}
	return err
}

// List implements store.Store.
func (s pathStore) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	reply, err := s.do(ctx, &peerv1.StoreCall{Operation: opList, Name: prefix})
	if err != nil {
		return nil, 0, err
	}
	return objectsFromWire(reply.Objects), reply.Revision, nil
}

// Watch implements store.Store.
func (s pathStore) Watch(ctx context.Context, prefix string, after int64) ([]store.Object, int64, error) {
	reply, err := s.do(ctx, &peerv1.StoreCall{Operation: opWatch, Name: prefix, ExpectedVersion: after})
	if err != nil && ctx.Err() != nil {
		return nil, after, nil
	}
	if err != nil {
		return nil, 0, err
	}
	return objectsFromWire(reply.Objects), reply.Revision, nil
}

// do makes a call by one way and, if it had certainly no effect there, by the other.
func (s pathStore) do(ctx context.Context, call *peerv1.StoreCall) (*peerv1.StoreReply, error) {
	first, second := s.directly, s.relayed
	if s.d.directFailedLately() {
		first, second = second, first
	}
	reply, err := first(ctx, call)
	if !fault.Is(err, fault.Unavailable) || ctx.Err() != nil {
		return reply, err
	}
	otherReply, otherErr := second(ctx, call)
	if errors.Is(otherErr, errNoRelay) {
		return reply, err
	}
	return otherReply, otherErr
}

// directFailedLately reports whether the store has failed this node a short
// time ago and has not answered since.
func (d *Distribution) directFailedLately() bool {
	at := d.directFailure.Load()
	return at != 0 && time.Since(d.started)-time.Duration(at) < directMemory
}

// directly makes the call from this node. It leaves time for another way.
func (s pathStore) directly(ctx context.Context, call *peerv1.StoreCall) (*peerv1.StoreReply, error) {
	if deadline, ok := ctx.Deadline(); ok && call.Operation != opWatch {
		shorter, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
		ctx = shorter
	}
	return executeStoreCall(ctx, s.d.direct(), call)
}

// errNoRelay reports that there is no peer to go through.
var errNoRelay = fault.New(fault.Unavailable, "wait until the store can be reached", "no peer can be asked to reach the store")

// relayed makes the call through peers, one after the other while it certainly
// had no effect.
func (s pathStore) relayed(ctx context.Context, call *peerv1.StoreCall) (*peerv1.StoreReply, error) {
	err := errNoRelay
	for _, vm := range s.d.relays() {
		var reply *peerv1.StoreReply
		reply, err = s.through(ctx, vm, call)
		if !fault.Is(err, fault.Unavailable) {
			s.d.metrics.relayed.Inc(1)
			events.StoreCallRelayed.Log(s.d.config.Logger).Str("peer", vm).Str("operation", call.Operation).Str("object", call.Name).Send()
			return reply, err
		}
	}
	return nil, err
}

// through makes the call through one peer.
func (s pathStore) through(ctx context.Context, vm string, call *peerv1.StoreCall) (*peerv1.StoreReply, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	request := &peerv1.StoreCall{
		Operation: call.Operation, Name: call.Name, Value: call.Value, ExpectedVersion: call.ExpectedVersion,
		RemainingMs: time.Until(deadline).Milliseconds(),
	}
	answer, err := s.d.config.Sender.Call(ctx, vm, &peerv1.Control{Kind: &peerv1.Control_StoreCall{StoreCall: request}})
	if err == nil && answer.GetStoreReply() == nil {
		err = fault.New(fault.Invalid, "update the older daemon", "VM %s answered a store call with another message", vm)
	}
	if err != nil {
		return nil, relayLost(err, vm, call)
	}
	return replyResult(answer.GetStoreReply())
}

// relayLost classifies a relayed call without an answer: a write may have
// taken effect, a read has none.
func relayLost(cause error, vm string, call *peerv1.StoreCall) error {
	if call.Operation == opPut || call.Operation == opDelete {
		return fault.Wrap(cause, fault.UnknownOutcome, "read the object back before acting", "VM %s gave no answer to a write of %q", vm, call.Name)
	}
	return fault.Wrap(cause, fault.Unavailable, "try again", "VM %s gave no answer to a read of %q", vm, call.Name)
}

// relays returns random peers that are not known to be silent, of different
// failure domains if possible.
func (d *Distribution) relays() []string {
	var chosen []string
	d.config.Loop.Call(func() {
		order := rand.Perm(len(d.roster.domains))
		for _, i := range order {
			members := d.roster.members[d.roster.domains[i]]
			vm := members[rand.IntN(len(members))]
			if vm != d.config.Self.Name && !d.contacts.isSilent(vm) && len(chosen) < relayAttempts {
				chosen = append(chosen, vm)
			}
		}
	})
	return chosen
}

// serveStoreCall makes a call for a peer, by the direct way only.
func (d *Distribution) serveStoreCall(from peer.Peer, call uint64, request *peerv1.StoreCall) {
	remaining := min(time.Duration(request.RemainingMs)*time.Millisecond, relayTimeout)
	ctx, cancel := context.WithTimeout(d.ctx, remaining)
	defer cancel()
	reply, err := executeStoreCall(ctx, d.direct(), request)
	if err != nil {
		reply = errorReply(err)
	} else if request.Operation == opPut {
		d.learnWritten(store.Object{Name: request.Name, Version: reply.Revision, Value: request.Value})
	}
	d.config.Sender.Send(from.VM, &peerv1.Control{ReplyTo: call, Kind: &peerv1.Control_StoreReply{StoreReply: reply}})
}

// learnWritten records an object that was written or read by this node and
// passes it on if it is new.
func (d *Distribution) learnWritten(object store.Object) {
	if distributed(object.Name) {
		d.config.Loop.Post(func() { d.spread(d.apply([]store.Object{object})) })
	}
}

// executeStoreCall makes a call at a store.
func executeStoreCall(ctx context.Context, s store.Store, call *peerv1.StoreCall) (*peerv1.StoreReply, error) {
	switch call.Operation {
	case opGet:
		object, err := s.Get(ctx, call.Name)
		return &peerv1.StoreReply{Objects: objectsToWire([]store.Object{object})}, err
	case opPut:
		version, err := s.Put(ctx, call.Name, call.Value, call.ExpectedVersion)
		return &peerv1.StoreReply{Revision: version}, err
	case opDelete:
		return &peerv1.StoreReply{}, s.Delete(ctx, call.Name, call.ExpectedVersion)
	case opList:
		objects, revision, err := s.List(ctx, call.Name)
		return &peerv1.StoreReply{Objects: objectsToWire(objects), Revision: revision}, err
	case opWatch:
		objects, revision, err := s.Watch(ctx, call.Name, call.ExpectedVersion)
		return &peerv1.StoreReply{Objects: objectsToWire(objects), Revision: revision}, err
	}
	return nil, fault.New(fault.Invalid, "update the older daemon", "store operation %q is not known", call.Operation)
}

// errorReply carries an error to the peer that asked.
func errorReply(err error) *peerv1.StoreReply {
	var typed *fault.Error
	if errors.As(err, &typed) {
		return &peerv1.StoreReply{ErrorKind: string(typed.Kind), ErrorMessage: typed.Message, ErrorRemedy: typed.Remedy}
	}
	return &peerv1.StoreReply{ErrorKind: string(fault.UnknownOutcome), ErrorMessage: err.Error(), ErrorRemedy: "read the object back before acting"}
}

// replyResult turns a reply into a result or the error that it carries.
func replyResult(reply *peerv1.StoreReply) (*peerv1.StoreReply, error) {
	if reply.ErrorKind == "" {
		return reply, nil
	}
	return nil, fault.New(fault.Kind(reply.ErrorKind), reply.ErrorRemedy, "%s", reply.ErrorMessage)
}
