// Package quota decides whether a request of a team is within the team's limit, which
// applies to all VMs together.
//
// The Ledger of the broker counts the requests of all VMs in an exact sliding window. The
// Share of each VM counts the requests of that VM alone; it decides while the broker cannot
// be asked, and tells the broker what ran without its permits. The methods take the current
// time as an argument, and the package does no I/O, so that tests can simulate any load.
//
// It handles teams that send more than their limit, also in bursts, the loss of the broker,
// VMs that are cut off, and limits that change. docs/design/quotas.md describes the choices.
package quota

import (
	"math"
	"time"
)

const (
	// windowBuckets is the number of buckets that a window is divided into: a request
	// leaves the window at most one bucket, 0.1% of the window, late.
	windowBuckets = 1000
	// travelTime is the time that a request may spend between the broker's permit and the
	// moment it is sent. A request counts as sent at the end of this time until its end
	// tells when it was sent.
	travelTime = 100 * time.Millisecond
	// brokerMargin is the part of the rule's margin up to which the broker permits requests,
	// shareMargin the part up to which the shares of all VMs add up, and heldMargin the part
	// that covers what silent VMs may run, so that the loss of a few VMs costs their teams
	// nothing. The rest covers what VMs run before the broker has learned of it. With larger
	// parts the simulation breaks the rule when VMs are cut off (docs/design/quotas.md).
	brokerMargin = 0.2
	shareMargin  = 0.2
	heldMargin   = 0.2
)

// Rule is the rule for all teams: in no Window do more requests of a team run than
// (rate * Window + burst) * (1 + Over) + Slack. Without Window there are no limits.
type Rule struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// Limit is the limit of one team: Rate in requests per second and Burst in requests. A Rate
// of 0 is no limit.
type Limit struct{ Rate, Burst float64 }

// Limited reports whether the rule and the limit bound the requests of a team.
func (r Rule) Limited(l Limit) bool { return r.Window > 0 && l.Rate > 0 }

// limit returns the number of requests in a window below which none may be refused.
func (r Rule) limit(l Limit) float64 { return l.Rate*r.Window.Seconds() + l.Burst }

// margin returns what the rule allows beyond the limit.
func (r Rule) margin(l Limit) float64 { return r.limit(l)*r.Over + r.Slack }

// withMargin returns the limit with a part of the rule's margin.
func (r Rule) withMargin(l Limit, part float64) float64 { return r.limit(l) + part*r.margin(l) }

// State is what the broker tells all VMs: what the teams that are close to their limits
// have used within the window.
type State struct {
	Used map[string]int
	// Floor is the share of its limit that a team which is not in Used has used at most.
	Floor float64
	// VMs is the number of VMs that may run requests.
	VMs int
}

// place is the place of one request in the window of its team.
type place struct {
	account *account
	// limit is the limit of the team when the request asked.
	limit Limit
	vm    string
	// granted is set once the request has a permit. bucket is then the number of its
	// bucket, and at the time of the permit.
	granted bool
	bucket  int64
	at      time.Duration
	foreign bool
}

// account counts the requests of one team.
type account struct {
	window window
	// reserved is the number of requests that wait for a permit.
	reserved int
	// promised holds the times at which refused callers were told to return, one window
	// earlier, so that it counts those that have not yet passed.
	promised window

	// vms holds the use of each VM, in the ledger. external is the number of requests that
	// ran without permits of this broker, or are assumed to, as of externalAt. covered is
	// the part of it that the margin covers.
	vms        map[string]*vmUse
	external   float64
	covered    float64
	externalAt time.Duration

	// told is the number of requests that all VMs have been told of at least, in the ledger.
	told float64

	// foreign counts the requests without a permit of the present broker, in a share;
	// atHeartbeat is the number in the window at the last heartbeat.
	foreign     window
	atHeartbeat int
}

func newAccount(rule Rule) *account {
	return &account{window: newWindow(rule.Window), promised: newWindow(rule.Window), externalAt: -1}
}

// advance moves the windows to a time.
func (a *account) advance(now time.Duration) {
	a.window.advance(now)
	a.promised.advance(now)
	if a.foreign.counts != nil {
		a.foreign.advance(now)
	}
}

// used returns the number of requests in the window, with those that wait and those that
// are counted elsewhere.
func (a *account) used() float64 { return float64(a.window.sum+a.reserved) + a.external }

// binding returns the part of used that counts against the limit.
func (a *account) binding() float64 { return a.used() - a.covered }

// retryAfter returns the time after which one more refused caller finds room: as many
// requests must have left the window by then as exceed the limit and as callers were told
// to return earlier.
func (a *account) retryAfter(limit float64, now time.Duration) time.Duration {
	need := int(math.Ceil(a.binding()+1-limit)) + a.promised.sum
	at := a.window.leaves(max(need, 1), now)
	a.promised.add(a.promised.bucket(at - a.window.length))
	return at - now
}

// settle records the end of a permitted request. took is the time from sending to the
// end; counts is unset if the target did not run the request.
func (p *place) settle(counts bool, took, now time.Duration) {
	a := p.account
	a.advance(now)
	bucket := p.bucket
	if sent := a.window.bucket(max(now-took, p.at)); took > 0 && sent < bucket {
		bucket = sent
	}
	if counts && bucket == p.bucket {
		return
	}
	a.window.remove(p.bucket)
	if counts {
		a.window.add(bucket)
	}
	if p.foreign {
		a.foreign.remove(p.bucket)
		if counts {
			a.foreign.add(bucket)
		}
	}
}

// grant counts a request as sent.
func (p *place) grant(now time.Duration) {
	a := p.account
	a.advance(now)
	p.granted, p.at = true, now
	p.bucket = a.window.bucket(now + travelTime)
	a.window.add(p.bucket)
	if p.foreign {
		a.foreign.add(p.bucket)
	}
}
