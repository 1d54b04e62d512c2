package quota

import (
	"maps"
	"time"
)

const (
	// silentAfter is how long a VM may send no report before it is taken for one that
	// decides without the broker. Reports come every 0.5 s at most.
	silentAfter = 700 * time.Millisecond
	// holdWindows and shareWindows are, in windows, how long the broker holds the share of a
	// silent VM, and how long a VM uses its share without the broker. The difference allows
	// for the time at which each notices the loss.
	holdWindows, shareWindows = 4, 3
	// formerShare is the share of its limit that a new broker assumes a team to have used at
	// least, until the VMs have reported: it may have grown since the last heartbeat.
	formerShare = 0.85
	// externalInterval is how often the requests that are counted elsewhere are added up.
	externalInterval = 20 * time.Millisecond
	// useBuckets is the number of buckets of a window in which the permits of each VM are
	// counted, usesKept the number kept.
	useBuckets, usesKept = 10, 16
	// maxListed is the largest number of teams in a State, listedFloor the share of its
	// limit from which a team is listed.
	maxListed   = 128
	listedFloor = 0.5
	// grownShare is the share of its limit by which a listed team has to grow for all VMs to
	// be told before the next heartbeat.
	grownShare = 0.2
)

// Ledger counts the requests of all VMs, on the VM whose broker permits them. It is not
// safe for concurrent use.
type Ledger[ID comparable] struct {
	rule     Rule
	origin   time.Time
	accounts map[string]*account
	places   map[ID]*place
	sweptAt  time.Duration
	vms      map[string]*vmState
	// former is the last state of the former broker, and formerVMs the number of VMs that
	// it knew and that this broker does not.
	former    State
	formerVMs int
	// grown is set if a team has grown by grownShare since all VMs were told.
	grown bool
}

// vmState is what a ledger knows of a VM. reported is set once the VM has reported to it.
type vmState struct {
	heardAt  time.Duration
	reported bool
}

// vmUse is the use of one team by one VM.
type vmUse struct {
	// recent counts the permits by coarse buckets; latest is the number of the last one.
	recent [usesKept]int32
	latest int64
	// foreign is the number of requests within the window, by the VM's last word, that ran
	// without a permit of this broker. known is set once the VM has told it.
	foreign int
	known   bool
	// hold is what a silent VM may run, as assumed since holdFor; valid while holdFor is
	// the time of its last report.
	hold    float64
	holdFor time.Duration
}

// NewLedger returns the ledger of a new broker. former is the state of the broker that it
// replaces, vms the VMs that may have decided meanwhile.
func NewLedger[ID comparable](rule Rule, former State, vms []string, now time.Time) *Ledger[ID] {
	l := &Ledger[ID]{rule: rule, origin: now, accounts: map[string]*account{}, places: map[ID]*place{}, vms: map[string]*vmState{}, former: former}
	for _, vm := range vms {
		l.vms[vm] = &vmState{}
	}
	l.formerVMs = max(former.VMs-len(vms), 0)
	return l
}

func (l *Ledger[ID]) at(now time.Time) time.Duration { return now.Sub(l.origin) }

// account returns the account of a team, brought up to a time.
func (l *Ledger[ID]) account(team string, limit Limit, now time.Duration) *account {
	a := l.accounts[team]
	if a == nil {
		a = newAccount(l.rule)
		a.vms = map[string]*vmUse{}
		l.accounts[team] = a
	}
	a.advance(now)
	if a.externalAt < 0 || now-a.externalAt >= externalInterval {
		l.countExternal(team, a, limit, now)
	}
	return a
}

// vm returns what is known of a VM. One that is new is counted as one that the former
// broker knew, if there is any left.
func (l *Ledger[ID]) vm(name string, now time.Duration) *vmState {
	state := l.vms[name]
	if state == nil {
		state = &vmState{heardAt: now}
		l.vms[name] = state
		l.formerVMs = max(l.formerVMs-1, 0)
	}
	return state
}

// use returns the use of a team by a VM.
func (a *account) use(vm string) *vmUse {
	u := a.vms[vm]
	if u == nil {
		u = &vmUse{}
		a.vms[vm] = u
	}
	return u
}

// Ask reserves a place for a request of a team, or returns false and the time after which
// the team has room for it. foreign is the number of requests of the team that the VM ran
// within the window without permits of this broker.
func (l *Ledger[ID]) Ask(id ID, vm, team string, limit Limit, foreign int, at time.Time) (time.Duration, bool) {
	now := l.at(at)
	l.sweep(now)
	l.vm(vm, now)
	a := l.account(team, limit, now)
	if u := a.use(vm); u.foreign != foreign || !u.known {
		u.foreign, u.known = foreign, true
		l.countExternal(team, a, limit, now)
	}
	if allowed := l.rule.withMargin(limit, brokerMargin); a.binding()+1 > allowed {
		return a.retryAfter(allowed, now), false
	}
	a.reserved++
	l.grown = l.grown || a.used() > max(a.told+grownShare*l.rule.limit(limit), listedFloor*l.rule.limit(limit))
	l.places[id] = &place{account: a, limit: limit, vm: vm}
	return 0, true
}

// Grown reports whether a team has used so much since all VMs were told that they should be
// told before the next heartbeat. If so, it counts as told.
func (l *Ledger[ID]) Grown() bool {
	if !l.grown {
		return false
	}
	l.grown = false
	for _, a := range l.accounts {
		a.told = a.used()
	}
	return true
}

// Decided records the decision on a request that has a place.
func (l *Ledger[ID]) Decided(id ID, permitted bool, at time.Time) {
	p := l.places[id]
	if p == nil || p.granted {
		return
	}
	p.account.reserved--
	if !permitted {
		delete(l.places, id)
		return
	}
	now := l.at(at)
	p.grant(now)
	p.account.use(p.vm).count(now, l.rule.Window, 1)
}

// End records the end of a request. counts is unset if no target ran it; took is the time
// from sending to the end.
func (l *Ledger[ID]) End(id ID, counts bool, took time.Duration, at time.Time) {
	p := l.places[id]
	if p == nil {
		return
	}
	delete(l.places, id)
	if !p.granted {
		p.account.reserved--
		return
	}
	p.settle(counts, took, l.at(at))
	if !counts {
		p.account.use(p.vm).count(p.at, l.rule.Window, -1)
	}
}

// sweep drops the places that have left the window, since some ends are never reported.
func (l *Ledger[ID]) sweep(now time.Duration) {
	if now-l.sweptAt < l.rule.Window {
		return
	}
	l.sweptAt = now
	for id, p := range l.places {
		if p.granted && now-p.at > l.rule.Window+travelTime {
			delete(l.places, id)
		}
	}
}

// Forget drops the requests that wait for a VM which has left or failed.
func (l *Ledger[ID]) Forget(vm string) {
	for id, p := range l.places {
		if !p.granted && p.vm == vm {
			p.account.reserved--
			delete(l.places, id)
		}
	}
}

// Report records a report of a VM: the number of requests, by team, that it ran within the
// window without permits of this broker.
func (l *Ledger[ID]) Report(vm string, foreign map[string]int, at time.Time) {
	now := l.at(at)
	state := l.vm(vm, now)
	state.heardAt, state.reported = now, true
	for team, count := range foreign {
		if a := l.accounts[team]; a != nil {
			a.use(vm).foreign = count
		} else {
			a := newAccount(l.rule)
			a.vms = map[string]*vmUse{vm: {foreign: count}}
			l.accounts[team] = a
		}
	}
	for team, a := range l.accounts {
		if u := a.vms[vm]; u != nil {
			u.foreign, u.known = foreign[team], true
		}
	}
}

// countExternal adds up what is counted elsewhere: what VMs have run without permits of
// this broker, and what silent VMs may run.
func (l *Ledger[ID]) countExternal(team string, a *account, limit Limit, now time.Duration) {
	allowed := l.rule.withMargin(limit, shareMargin)
	held := time.Duration(holdWindows) * l.rule.Window
	vms := float64(max(len(l.vms)+l.formerVMs, 1))
	formerUse := max(float64(l.former.usedAtMost(team, l.rule.limit(limit))), formerShare*l.rule.limit(limit))
	foreign, assumed := 0.0, 0.0
	// holds is what the silent VMs may run, counted the part of it that is in the window.
	silentVMs, holds, counted := 0.0, 0.0, 0
	for vm, state := range l.vms {
		silent := now - state.heardAt
		if silent > held {
			delete(l.vms, vm)
			delete(a.vms, vm)
			continue
		}
		u := a.vms[vm]
		if !state.reported {
			switch {
			case u != nil && u.known:
				foreign += float64(u.foreign)
			case silent <= silentAfter:
				foreign += formerUse / vms
			default:
				assumed += allowed / vms
			}
			continue
		}
		if silent <= silentAfter {
			if u != nil {
				foreign += float64(u.foreign)
			}
			continue
		}
		if u == nil {
			u = a.use(vm)
		}
		if u.hold == 0 || u.holdFor != state.heardAt {
			u.holdFor = state.heardAt
			u.hold = float64(u.sum(state.heardAt, l.rule.Window)+u.foreign) + max(allowed-float64(a.window.sum)-a.external, 0)/vms
		}
		silentVMs++
		holds += u.hold
		counted += u.sum(now, l.rule.Window)
	}
	// Others may have used since what the silent VMs had left, but if these have another
	// broker now, it counts on an equal share for each of them.
	assumed += max(holds, silentVMs*allowed/vms) - min(float64(counted), holds)
	if now <= held {
		share := formerUse
		if now > silentAfter {
			share = allowed
		}
		assumed += float64(l.formerVMs) * share / vms
	}
	a.external, a.externalAt = foreign+assumed, now
	a.covered = min(assumed, heldMargin*l.rule.margin(limit))
	if len(a.vms) > len(l.vms) {
		maps.DeleteFunc(a.vms, func(vm string, _ *vmUse) bool { return l.vms[vm] == nil })
	}
}

// State returns what all VMs are told. limits returns the limit of a team; false if it is
// gone.
func (l *Ledger[ID]) State(limits func(team string) (Limit, bool), at time.Time) State {
	now := l.at(at)
	state := State{Used: map[string]int{}, Floor: listedFloor, VMs: len(l.vms) + l.formerVMs}
	for team := range l.accounts {
		limit, ok := limits(team)
		if !ok {
			delete(l.accounts, team)
			continue
		}
		a := l.account(team, limit, now)
		share := a.used() / l.rule.limit(limit)
		a.told = min(a.told, a.used())
		switch {
		case share <= listedFloor:
		case len(state.Used) < maxListed:
			state.Used[team] = int(a.used() + 0.5)
		default:
			state.Floor = max(state.Floor, share)
		}
	}
	return state
}

// usedAtMost returns what a team has used at most by a state.
func (s State) usedAtMost(team string, limit float64) int {
	if used, ok := s.Used[team]; ok {
		return used
	}
	return int(s.Floor * limit)
}

// count adds a number of permits at a time.
func (u *vmUse) count(at, length time.Duration, number int32) {
	bucket := coarse(at, length)
	for u.latest < bucket {
		u.latest = max(u.latest+1, bucket-usesKept+1)
		u.recent[u.latest%usesKept] = 0
	}
	if bucket > u.latest-usesKept {
		u.recent[bucket%usesKept] += number
	}
}

// sum returns the number of permits in the window that ends at a time.
func (u *vmUse) sum(at, length time.Duration) int {
	last, total := coarse(at, length), 0
	for bucket := max(last-useBuckets+1, u.latest-usesKept+1, 0); bucket <= min(last, u.latest); bucket++ {
		total += int(u.recent[bucket%usesKept])
	}
	return total
}

// coarse returns the number of the coarse bucket that contains a time.
func coarse(at, length time.Duration) int64 { return int64(at / max(length/useBuckets, 1)) }
