package quota

import (
	"hash/fnv"
	"math"
	"time"
)

// assumedVMs is the number of VMs that a share assumes before the first heartbeat.
const assumedVMs = 100

// Share counts the requests of one VM, and decides for it while the broker cannot be asked:
// for each team the VM may run, in each window, as many requests as it ran in the window
// before the last heartbeat, and its part of what the team had left then. So all VMs
// together stay within the limit without hearing of each other. It is not safe for
// concurrent use.
type Share struct {
	rule     Rule
	vm       string
	origin   time.Time
	accounts map[string]*account
	places   map[uint64]*place
	sweptAt  time.Duration
	state    State
	heardAt  time.Duration
	heard    bool
}

// NewShare returns the share of a VM.
func NewShare(rule Rule, vm string, now time.Time) *Share {
	return &Share{rule: rule, vm: vm, origin: now, accounts: map[string]*account{}, places: map[uint64]*place{}}
}

func (s *Share) at(now time.Time) time.Duration { return now.Sub(s.origin) }

func (s *Share) account(team string, now time.Duration) *account {
	a := s.accounts[team]
	if a == nil {
		a = newAccount(s.rule)
		a.foreign = newWindow(s.rule.Window)
		s.accounts[team] = a
	}
	a.advance(now)
	return a
}

// Heard records the broker's state in a heartbeat.
func (s *Share) Heard(state State, at time.Time) {
	s.state, s.heardAt, s.heard = state, s.at(at), true
	for team, a := range s.accounts {
		a.advance(s.heardAt)
		if a.window.sum+a.reserved == 0 {
			delete(s.accounts, team)
			continue
		}
		a.atHeartbeat = a.window.sum
	}
}

// State returns the last state of the broker that this VM has heard.
func (s *Share) State() State { return s.state }

// BrokerChanged makes all requests in the window foreign to the present broker.
func (s *Share) BrokerChanged(at time.Time) {
	now := s.at(at)
	for _, a := range s.accounts {
		a.advance(now)
		a.foreign = copyOf(a.window)
	}
	for _, p := range s.places {
		p.foreign = true
	}
}

// Foreign returns the number of requests of a team within the window that ran without a
// permit of the present broker.
func (s *Share) Foreign(team string, at time.Time) int {
	a := s.accounts[team]
	if a == nil {
		return 0
	}
	a.advance(s.at(at))
	return a.foreign.sum
}

// AllForeign returns what Foreign returns, for the teams that have any.
func (s *Share) AllForeign(at time.Time) map[string]int {
	all := map[string]int{}
	for team := range s.accounts {
		if count := s.Foreign(team, at); count > 0 {
			all[team] = count
		}
	}
	return all
}

// allowance returns how many requests of a team this VM may run in a window without the
// broker.
func (s *Share) allowance(team string, limit Limit, a *account, now time.Duration) int {
	allowed, vms := s.rule.withMargin(limit, shareMargin), float64(max(s.state.VMs, 1))
	share := 0.0
	used, listed := s.state.Used[team]
	switch {
	case !s.heard:
		share = allowed / assumedVMs
	case now-s.heardAt > time.Duration(shareWindows)*s.rule.Window:
		// The broker no longer holds the share.
		share = shareMargin * s.rule.margin(limit) / vms
	case listed:
		share = float64(a.atHeartbeat) + max(allowed-float64(used), 0)/vms
	default:
		// The team had used little in all, and few VMs more than an equal share.
		share = max(float64(a.atHeartbeat), allowed/vms)
	}
	return int(math.Floor(share + s.rounding(team)))
}

// rounding returns a number in [0, 1) that differs between VMs and teams, so that the
// rounded shares of all VMs add up to the whole.
func (s *Share) rounding(team string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.vm + "\x00" + team))
	// The low bits of FNV differ more between similar names than the high ones.
	return float64(h.Sum32()%10007) / 10007
}

// Spent reports whether this VM may run no more requests of a team without the broker now.
func (s *Share) Spent(team string, limit Limit, at time.Time) bool {
	now := s.at(at)
	a := s.account(team, now)
	return a.window.sum+a.reserved+1 > s.allowance(team, limit, a, now)
}

// Ask reserves a place for a request that is decided without the broker. If there is none,
// it returns false, the time after which this VM has one, and whether the team is known to
// have reached its limit.
func (s *Share) Ask(number uint64, team string, limit Limit, at time.Time) (after time.Duration, reached, ok bool) {
	now := s.at(at)
	a := s.account(team, now)
	if allowed := s.allowance(team, limit, a, now); a.window.sum+a.reserved+1 > allowed {
		used, listed := s.state.Used[team]
		return a.retryAfter(float64(allowed), now), listed && float64(used+1) > s.rule.limit(limit), false
	}
	s.sweep(now)
	a.reserved++
	s.places[number] = &place{account: a, limit: limit, foreign: true}
	return 0, false, true
}

// Decided records the decision on a request that has a place.
func (s *Share) Decided(number uint64, permitted bool, at time.Time) {
	p := s.places[number]
	if p == nil || p.granted {
		return
	}
	p.account.reserved--
	if !permitted {
		delete(s.places, number)
		return
	}
	p.grant(s.at(at))
}

// Permitted counts a request with a permit of the broker.
func (s *Share) Permitted(number uint64, team string, at time.Time) {
	now := s.at(at)
	s.sweep(now)
	p := &place{account: s.account(team, now)}
	p.grant(now)
	s.places[number] = p
}

// End records the end of a request, as Ledger.End does.
func (s *Share) End(number uint64, counts bool, took time.Duration, at time.Time) {
	p := s.places[number]
	if p == nil {
		return
	}
	delete(s.places, number)
	if !p.granted {
		p.account.reserved--
		return
	}
	p.settle(counts, took, s.at(at))
}

// sweep drops the places that have left the window.
func (s *Share) sweep(now time.Duration) {
	if now-s.sweptAt < s.rule.Window {
		return
	}
	s.sweptAt = now
	for number, p := range s.places {
		if p.granted && now-p.at > s.rule.Window+travelTime {
			delete(s.places, number)
		}
	}
}
