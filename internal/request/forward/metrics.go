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
	// leaving, resting and silent count the targets that have said that they are leaving,
	// the back-offs that targets have asked for, and the requests that a full target left
	// unanswered.
	leaving, resting, silent tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &metrics{
		scope: scope, callersLeft: scope.Counter("callers_left"), leaving: scope.Counter("targets_leaving"),
		resting: scope.Counter("target_backoffs"), silent: scope.Counter("requests_unanswered"),
	}
}

// resultOf returns the result that a target's status counts as.
func resultOf(status int) string {
	if status >= 500 {
		return "failed"
	}
	return "ok"
}

func (m *metrics) answered(route *fleet.Route, took time.Duration, status int) {
	scope := m.scope.Tagged(map[string]string{"kind": string(route.Kind), "result": resultOf(status)})
	scope.Counter("requests_answered").Inc(1)
	scope.Histogram("answer_time", latencyBuckets).RecordDuration(took)
}

func (m *metrics) refused(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("requests_refused").Inc(1)
}

// quotaSpent counts a request of a team that has reached its limit.
func (m *metrics) quotaSpent(config *fleet.Config, team *fleet.Team) {
	m.scope.Tagged(map[string]string{"team": m.teams.of(config, team)}).Counter("quota_refused").Inc(1)
}

func (m *metrics) failed(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("requests_failed").Inc(1)
}

// maxTeamLabels is the largest number of teams that counters name. Each of them has a series
// for each result on each VM.
const maxTeamLabels = 20

const (
	// otherTeams is the label of the teams that counters do not name.
	otherTeams = "other"
	// noTeam is the label of requests without a team.
	noTeam = "none"
)

// teamLabels holds the teams that counters name: those of a configuration with the highest
// rates, where no limit is the highest rate. All VMs name the same teams. Names are kept over
// changes of the configuration, since the series of a counter last as long as the process.
type teamLabels struct {
	mu      sync.Mutex
	version uint64
	named   map[string]bool
}

// of returns the label of a team of a configuration.
func (l *teamLabels) of(config *fleet.Config, team *fleet.Team) string {
	if team == nil {
		return noTeam
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.named == nil || config.Version > l.version {
		l.update(config)
	}
	if l.named[team.Name] {
		return team.Name
	}
	return otherTeams
}

// update adds the largest teams of a configuration as long as there are labels left. The
// lock must be held.
func (l *teamLabels) update(config *fleet.Config) {
	if l.named == nil {
		l.named = map[string]bool{}
	}
	l.version = config.Version
	teams := slices.Clone(config.Teams)
	slices.SortFunc(teams, func(a, b fleet.Team) int {
		if (a.Rate == 0) != (b.Rate == 0) {
			return cmp.Compare(a.Rate, b.Rate)
		}
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Name, b.Name))
	})
	for _, team := range teams[:min(len(teams), maxTeamLabels)] {
		if len(l.named) < maxTeamLabels {
			l.named[team.Name] = true
		}
	}
}

// teamResult counts a request by team and result. Without teams it does nothing.
func (m *metrics) teamResult(config *fleet.Config, team *fleet.Team, result string) {
	if config == nil || !config.HasTeams() {
		return
	}
	m.scope.Tagged(map[string]string{"team": m.teams.of(config, team), "result": result}).Counter("team_requests").Inc(1)
}
