package daemon

import (
	"context"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
)

const (
	// loadBalancerDelay is how long the entry keeps serving new callers after the
	// VM reports not ready: the platform's load balancer sends them until its
	// next health check.
	loadBalancerDelay = time.Second
	// handoverTimeout bounds the wait for the controller to assign other
	// dispatchers. After it, the backups in the record take over.
	handoverTimeout = 10 * time.Second
	// stopPollInterval is the interval at which a stop checks for remaining work.
	stopPollInterval = 20 * time.Millisecond
)

// stopGracefully reports the VM as not ready, waits until its dispatch rights are
// handed over and its requests in flight are answered, and removes its
// registration. It takes at most the stop timeout of the settings.
func (d *Daemon) stopGracefully() {
	events.DaemonStopping.Log(&d.logger).Send()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.StopTimeout())
	defer cancel()
	d.leaving.Store(true)
	d.loop.Call(d.ownership.Leave)
	go d.markLeaving(ctx)
	sleep(ctx, loadBalancerDelay)
	callersDone := make(chan struct{})
	go func() { _ = d.callers.Shutdown(ctx); close(callersDone) }()
	d.awaitHandover(ctx)
	waitFor(ctx, func() bool { return d.dispatcher.InFlightTotal() == 0 })
	<-callersDone
	d.removeRegistration(ctx)
}

// markLeaving marks the registration as leaving, so that the controller assigns
// other dispatchers.
func (d *Daemon) markLeaving(ctx context.Context) {
	// The mark cannot be written during an outage of the store; the backups take
	// over then.
	if err := d.membership.Leave(ctx); err != nil {
		d.logger.Warn().Err(err).Msg("the registration could not be marked as leaving")
	}
}

// awaitHandover waits until other VMs have taken over all dispatch rights of this
// VM, at most handoverTimeout.
func (d *Daemon) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	waitFor(ctx, func() bool {
		held := 0
		return !d.loop.Call(func() { held = d.ownership.Holds() }) || held == 0
	})
}

// removeRegistration deletes the VM's registration. It takes at most the timeout
// of one store call.
func (d *Daemon) removeRegistration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.StoreTimeout())
	defer cancel()
	if err := d.membership.Remove(ctx); err != nil {
		d.logger.Warn().Err(err).Msg("the registration could not be removed")
	}
}

// waitFor polls until done returns true or ctx is canceled.
func waitFor(ctx context.Context, done func() bool) {
	for !done() && ctx.Err() == nil {
		sleep(ctx, stopPollInterval)
	}
}

// sleep waits for a duration or until ctx is canceled.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
