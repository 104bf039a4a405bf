// Package metrics sets up the metrics of an entry, agent or gateway: a tally scope
// and the Prometheus text page that exposes it. Each of them creates one Registry
// at its start.
package metrics

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Prefix is the prefix of all metric names.
const Prefix = "dunlinpulley"

// reportInterval is how often values are copied from the scope to the page.
const reportInterval = time.Second

// Registry has the metrics of one entry, agent or gateway.
type Registry struct {
	// Scope is where metrics are recorded.
	Scope tally.Scope
	// Page serves the metrics in the Prometheus text format.
	Page   http.Handler
	closer io.Closer
}

// New returns a registry whose metrics have the label role.
func New(role string) *Registry {
	// An embedded deployment runs several roles in one Go process. The default
	// Prometheus registry would mix their metrics.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	options := tally.ScopeOptions{
		Prefix:         Prefix,
		Tags:           map[string]string{"role": role},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// Disables tally's internal metrics about the number of series.
		OmitCardinalityMetrics: true,
	}
	scope, closer := tally.NewRootScope(options, reportInterval)
	return &Registry{Scope: scope, Page: reporter.HTTPHandler(), closer: closer}
}

// Close stops copying values to the page.
func (r *Registry) Close() error { return r.closer.Close() }
