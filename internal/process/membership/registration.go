package membership

import (
	"context"
	"encoding/json"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

const (
	// callTimeout bounds one call to the store.
	callTimeout = 5 * time.Second
	// shortestRetry and longestRetry bound the delay between attempts.
	shortestRetry = 100 * time.Millisecond
	longestRetry  = 2 * time.Second
	// warnAfter is the number of failed attempts that are reported.
	warnAfter = 3
)

// startRegistration registers on another goroutine.
func (m *Membership) startRegistration(ctx context.Context) {
	if !m.registering.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer m.registering.Store(false)
		version, err := m.write(ctx, m.config.Self)
		if err != nil {
			return
		}
		m.registered.Store(version)
		events.VMRegistered.Log(m.config.Logger).Int64("version", version).Str("incarnation", m.config.Self.Incarnation).Send()
	}()
}

// Leave marks the own VM as leaving, so that it gets no new role. It is Refused
// if the own incarnation is not registered, or no longer is.
func (m *Membership) Leave(ctx context.Context) error {
	m.leaving.Store(true)
	vm := m.config.Self
	vm.Leaving = true
	version, err := m.write(ctx, vm)
	if err == nil {
		m.registered.Store(version)
		events.VMLeaving.Log(m.config.Logger).Send()
	}
	return err
}

// Remove deletes the own registration, unless another incarnation has replaced it.
func (m *Membership) Remove(ctx context.Context) error {
	m.leaving.Store(true)
	return m.repeat(ctx, func(ctx context.Context) (bool, error) {
		record, err := m.config.Store.Get(ctx, routing.VMPrefix+m.config.Self.Name)
		if fault.Is(err, fault.NotFound) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
		if vm, err := decodeVM(record); err != nil || vm.Incarnation != m.config.Self.Incarnation {
			return true, nil
		}
		if err := m.config.Store.Delete(ctx, record.Name, record.Version); err != nil {
			return false, err
		}
		events.VMRemoved.Log(m.config.Logger).Str("vm", m.config.Self.Name).Send()
		return true, nil
	})
}

// write brings the own record to the wanted value and returns its version. A
// lost answer is resolved by reading back; an older incarnation is replaced.
func (m *Membership) write(ctx context.Context, wanted routing.VM) (version int64, err error) {
	value, err := json.Marshal(wanted)
	if err != nil {
		return 0, err
	}
	name := routing.VMPrefix + wanted.Name
	err = m.repeat(ctx, func(ctx context.Context) (bool, error) {
		if m.leaving.Load() && !wanted.Leaving {
			return true, fault.New(fault.Refused, "let the VM leave", "VM %q is leaving", wanted.Name)
		}
		record, err := m.config.Store.Get(ctx, name)
		if err != nil && !fault.Is(err, fault.NotFound) {
			return false, err
		}
		vm, decodeErr := decodeVM(record)
		if decodeErr == nil && vm == wanted {
			version = record.Version
			return true, nil
		}
		if wanted.Leaving && vm.Incarnation != wanted.Incarnation {
			return true, fault.New(fault.Refused, "stop without a mark", "incarnation %q of VM %q is no longer registered", wanted.Incarnation, wanted.Name)
		}
		version, err = m.config.Store.Put(ctx, name, value, record.Version)
		return err == nil, err
	})
	return version, err
}

// repeat makes attempts until one is done or the context ends, and returns the
// last error.
func (m *Membership) repeat(ctx context.Context, attempt func(ctx context.Context) (done bool, err error)) error {
	delay := shortestRetry
	for tries := 1; ; tries++ {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		done, err := attempt(callCtx)
		cancel()
		if done {
			return err
		}
		if tries == warnAfter {
			events.VMRegistrationLate.Log(m.config.Logger).Err(err).Send()
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(delay):
		}
		delay = min(2*delay, longestRetry)
	}
}

// decodeVM reads a registration.
func decodeVM(record store.Object) (routing.VM, error) {
	var vm routing.VM
	if record.Version == 0 || record.Deleted {
		return vm, fault.New(fault.NotFound, "register it", "the VM is not registered")
	}
	err := json.Unmarshal(record.Value, &vm)
	return vm, err
}
