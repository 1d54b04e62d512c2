package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
)

const (
	// listTimeout bounds one list of a part of the store.
	listTimeout = 5 * time.Second
	// contactInterval is the interval at which a watcher asks the store for a
	// sign of life, since a waiting watch gives none.
	contactInterval = 2 * time.Second
	// contactPrefix matches no object, so that the answer is small.
	contactPrefix = "contact/"
	// shortestRetry and longestRetry bound the delay between attempts at a
	// store that fails.
	shortestRetry = 200 * time.Millisecond
	longestRetry  = 2 * time.Second
)

// startWatching watches each distributed part of the store until the context ends.
func (d *Distribution) startWatching(ctx context.Context) {
	for _, prefix := range prefixes {
		go d.watchPrefix(ctx, prefix)
	}
	go d.keepContact(ctx)
}

// watchPrefix lists a part of the store and follows its changes.
func (d *Distribution) watchPrefix(ctx context.Context, prefix string) {
	retry := backoff{}
	for ctx.Err() == nil {
		revision, err := d.listPrefix(ctx, prefix)
		if err == nil {
			retry.succeeded(d)
			err = d.followPrefix(ctx, prefix, revision, &retry)
		}
		if err != nil && !fault.Is(err, fault.Conflict) {
			retry.failed(ctx, d, err)
		}
	}
}

// listPrefix applies the present state of a part of the store, absences included.
func (d *Distribution) listPrefix(ctx context.Context, prefix string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, revision, err := d.direct().List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	d.config.Loop.Call(func() {
		d.push(d.config.Self.Name, d.apply(append(d.table.missingFrom(prefix, objects, revision), objects...)))
	})
	return revision, nil
}

// followPrefix applies changes until the watch has to be set up anew. A store
// that fails is asked again from the same revision, so that nothing is missed
// and nothing is listed twice.
func (d *Distribution) followPrefix(ctx context.Context, prefix string, revision int64, retry *backoff) error {
	for ctx.Err() == nil {
		changes, next, err := d.direct().Watch(ctx, prefix, revision)
		switch {
		case ctx.Err() != nil:
			return nil
		case fault.Is(err, fault.Conflict):
			return err
		case err != nil:
			retry.failed(ctx, d, err)
			continue
		}
		retry.succeeded(d)
		revision = next
		d.config.Loop.Call(func() { d.push(d.config.Self.Name, d.apply(changes)) })
	}
	return nil
}

// keepContact asks the store for a sign of life at each interval.
func (d *Distribution) keepContact(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, contactInterval)
		_, _, _ = d.direct().List(callCtx, contactPrefix)
		cancel()
		sleep(ctx, contactInterval)
	}
}

// backoff delays attempts at a store that fails.
type backoff struct {
	delay time.Duration
}

// failed reports the first failure of a run and waits.
func (b *backoff) failed(ctx context.Context, d *Distribution, err error) {
	if ctx.Err() != nil {
		return
	}
	d.metrics.storeErrors.Inc(1)
	if b.delay == 0 {
		events.StoreUnreachable.Log(d.config.Logger).Err(err).Send()
	}
	b.delay = min(max(2*b.delay, shortestRetry), longestRetry)
	sleep(ctx, b.delay/2+rand.N(b.delay))
}

// succeeded ends a run of failures.
func (b *backoff) succeeded(d *Distribution) {
	if b.delay > 0 {
		events.StoreReached.Log(d.config.Logger).Send()
	}
	b.delay = 0
}

// sleep waits for a time or the end of the context.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// direct returns the store with every answer recorded as a contact.
func (d *Distribution) direct() store.Store { return observedStore{d} }

// observedStore records whether the store answers this node.
type observedStore struct {
	d *Distribution
}

// Get implements store.Store.
func (s observedStore) Get(ctx context.Context, name string) (store.Object, error) {
	started := time.Now()
	object, err := s.d.config.Store.Get(ctx, name)
	s.d.noteStore(started, err)
	return object, err
}

// Put implements store.Store.
func (s observedStore) Put(ctx context.Context, name string, value []byte, expected int64) (int64, error) {
	started := time.Now()
	version, err := s.d.config.Store.Put(ctx, name, value, expected)
	s.d.noteStore(started, err)
	return version, err
}

// Delete implements store.Store.
func (s observedStore) Delete(ctx context.Context, name string, expected int64) error {
	started := time.Now()
	err := s.d.config.Store.Delete(ctx, name, expected)
	s.d.noteStore(started, err)
	return err
}

// List implements store.Store.
func (s observedStore) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	started := time.Now()
	objects, revision, err := s.d.config.Store.List(ctx, prefix)
	s.d.noteStore(started, err)
	return objects, revision, err
}

// Watch implements store.Store. Only changes prove that the store answered: a
// watch that ends with its context returns nothing too.
func (s observedStore) Watch(ctx context.Context, prefix string, after int64) ([]store.Object, int64, error) {
	changes, revision, err := s.d.config.Store.Watch(ctx, prefix, after)
	if len(changes) > 0 || err != nil {
		s.d.noteStore(time.Now(), err)
	}
	return changes, revision, err
}

// noteStore records an answer of the store, which a refusal is too, or its failure.
func (d *Distribution) noteStore(at time.Time, err error) {
	if fault.Is(err, fault.Unavailable) || fault.Is(err, fault.UnknownOutcome) {
		d.directFailure.Store(max(1, int64(time.Since(d.started))))
		return
	}
	d.directFailure.Store(0)
	d.config.Loop.Post(func() { d.contacts.storeAnswered(at) })
}
