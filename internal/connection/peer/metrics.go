package peer

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metricsInterval is the interval at which the metrics are updated.
const metricsInterval = time.Second

// statsReporter publishes Stats as metrics: the totals as counters, the open
// sessions as a gauge.
type statsReporter struct {
	scope tally.Scope
	// reported holds the last published Stats, reportedAt their time (see now).
	reported   Stats
	reportedAt time.Duration
}

func newStatsReporter(scope tally.Scope) *statsReporter {
	return &statsReporter{scope: scope.SubScope("peer")}
}

// report updates the metrics, unless the last update is less than metricsInterval
// ago.
func (r *statsReporter) report(stats Stats, at time.Duration) {
	if at-r.reportedAt < metricsInterval {
		return
	}
	last := r.reported
	r.reportedAt, r.reported = at, stats
	r.scope.Gauge("sessions_open").Update(float64(stats.SessionsOpen))
	r.scope.Counter("control_bytes_sent").Inc(stats.ControlBytesSent - last.ControlBytesSent)
	r.scope.Counter("control_bytes_received").Inc(stats.ControlBytesReceived - last.ControlBytesReceived)
	r.scope.Counter("bytes_sent").Inc(stats.BytesSent - last.BytesSent)
	r.scope.Counter("bytes_received").Inc(stats.BytesReceived - last.BytesReceived)
	r.scope.Counter("control_dropped").Inc(stats.ControlDropped - last.ControlDropped)
	r.scope.Counter("unmatched").Inc(stats.Unmatched - last.Unmatched)
	r.scope.Counter("probes_sent").Inc(stats.ProbesSent - last.ProbesSent)
	r.scope.Counter("suspected").Inc(stats.Suspected - last.Suspected)
	r.scope.Counter("bodies_cut").Inc(stats.BodiesCut - last.BodiesCut)
}
