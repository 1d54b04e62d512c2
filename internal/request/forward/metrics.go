package forward

import (
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

func (m *metrics) failed(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("requests_failed").Inc(1)
}
