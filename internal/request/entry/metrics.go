package entry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
)

// metrics counts requests by service, outcome and reason. Metrics are looked up
// once and kept, since a lookup in the scope costs more than a count.
type metrics struct {
	scope    tally.Scope
	counters sync.Map // counterKey -> tally.Counter
	timers   sync.Map // service name -> tally.Histogram
}

type counterKey struct {
	service string
	kind    outcome.Kind
	reason  outcome.Reason
}

// responseBuckets are the bounds of the response time histogram.
var responseBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 20)

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{scope: scope.SubScope("entry")}
}

// record counts the end of a request and the time up to the head of its answer.
func (m *metrics) record(x *exchange, r result) {
	service := ""
	if x.service != nil {
		service = x.service.Declared.Name
	}
	m.counter(counterKey{service, r.kind, r.reason}).Inc(1)
	if r.kind == outcome.Answered {
		m.timer(service).RecordDuration(time.Since(x.began))
	}
}

func (m *metrics) counter(key counterKey) tally.Counter {
	if counter, ok := m.counters.Load(key); ok {
		return counter.(tally.Counter)
	}
	tags := map[string]string{"service": key.service, "outcome": key.kind.String(), "reason": string(key.reason)}
	counter, _ := m.counters.LoadOrStore(key, m.scope.Tagged(tags).Counter("requests"))
	return counter.(tally.Counter)
}

func (m *metrics) timer(service string) tally.Histogram {
	if timer, ok := m.timers.Load(service); ok {
		return timer.(tally.Histogram)
	}
	tags := map[string]string{"service": service}
	timer, _ := m.timers.LoadOrStore(service, m.scope.Tagged(tags).Histogram("response_time", responseBuckets))
	return timer.(tally.Histogram)
}
