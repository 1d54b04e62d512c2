package forward

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// latencyBuckets cover responses from milliseconds to the longest deadlines.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	150 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, 800 * time.Millisecond,
	1200 * time.Millisecond, 2 * time.Second, 5 * time.Second, 10 * time.Second,
}

// metrics counts the responses that callers get.
type metrics struct {
	scope       tally.Scope
	callersLeft tally.Counter
	teams       teamLabels
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &metrics{scope: scope, callersLeft: scope.Counter("callers_left")}
}

func (m *metrics) answered(route *fleet.Route, took time.Duration, status int) {
	result := "ok"
	if status >= 500 {
		result = "failed"
	}
	scope := m.scope.Tagged(map[string]string{"kind": string(route.Kind), "result": result})
	scope.Counter("requests_answered").Inc(1)
	scope.Histogram("answer_time", latencyBuckets).RecordDuration(took)
}

func (m *metrics) refused(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("requests_refused").Inc(1)
}

// quotaSpent counts a request of a team that has reached its limit.
func (m *metrics) quotaSpent(config *fleet.Config, team string) {
	m.scope.Tagged(map[string]string{"team": m.teams.label(config, team)}).Counter("quota_refused").Inc(1)
}

const (
	// namedTeams is the number of teams that counters name, those with the highest rates.
	// The others are counted as otherTeams.
	namedTeams = 20
	otherTeams = "other"
)

// teamLabels chooses the names of teams for counters. The number of names is bounded, so
// that the counters are.
type teamLabels struct {
	mu      sync.Mutex
	version uint64
	labels  map[string]bool
}

// label returns the name under which a team of a configuration is counted.
func (t *teamLabels) label(config *fleet.Config, team string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.labels == nil || t.version != config.Version {
		byRate := slices.Clone(config.Teams)
		slices.SortStableFunc(byRate, func(a, b fleet.Team) int { return cmp.Compare(b.Rate, a.Rate) })
		t.version, t.labels = config.Version, map[string]bool{}
		for _, largest := range byRate[:min(len(byRate), namedTeams)] {
			t.labels[largest.Name] = true
		}
	}
	if t.labels[team] {
		return team
	}
	return otherTeams
}

func (m *metrics) failed(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("requests_failed").Inc(1)
}
