package daemon

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// metricsInterval is the interval at which tally passes values to the
// Prometheus reporter.
const metricsInterval = time.Second

// Metrics holds the metrics of one daemon and exposes them in the Prometheus
// format.
type Metrics struct {
	Scope    tally.Scope
	reporter prometheus.Reporter
	closer   io.Closer
}

// NewMetrics returns the metrics of a daemon. Each is tagged with the VM and its
// failure domain.
func NewMetrics(vm, failureDomain string) *Metrics {
	// The global registry cannot be used: several daemons may run in one process.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "chestnutcourse", Separator: prometheus.DefaultSeparator, CachedReporter: reporter,
		Tags: map[string]string{"vm": vm, "failure_domain": failureDomain},
	}, metricsInterval)
	return &Metrics{Scope: scope, reporter: reporter, closer: closer}
}

// Handler returns the handler that serves the metrics to Prometheus.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close stops the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
