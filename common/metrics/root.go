package metrics

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which the scope flushes to the reporter.
const reportInterval = time.Second

// Root is the root scope of one process, with the HTTP handler that exposes it.
type Root struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewRoot returns a root scope that reports to its own Prometheus registry, which
// also holds the metrics of the Go runtime and of the process.
func NewRoot() *Root {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
		// A metric that can't be registered is omitted; the process must not fail
		// because of it.
		OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 Prefix,
		Separator:              prometheus.DefaultSeparator,
		CachedReporter:         reporter,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Root{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close flushes the remaining values and stops the reporting goroutine.
func (r *Root) Close() error { return r.closer.Close() }
