package daemon

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// metricsInterval is the interval at which tally passes values to its reporter.
const metricsInterval = time.Second

// Metrics are the measurements of one process, in the Prometheus form.
type Metrics struct {
	Scope    tally.Scope
	reporter prometheus.Reporter
	closer   io.Closer
}

// NewMetrics returns the measurements of a VM.
func NewMetrics(vm, failureDomain string) *Metrics {
	// A registry of its own, since several daemons may run in one process.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "chestnutcourse", Separator: prometheus.DefaultSeparator, CachedReporter: reporter,
		Tags: map[string]string{"vm": vm, "failure_domain": failureDomain},
	}, metricsInterval)
	return &Metrics{Scope: scope, reporter: reporter, closer: closer}
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close ends the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
