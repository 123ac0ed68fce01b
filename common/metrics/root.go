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

// reportInterval is the interval at which counts reach the reporter.
const reportInterval = time.Second

// Root is the scope of one process with the handler that shows it.
type Root struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewRoot returns a root scope that reports to a registry of its own, with the
// runtime's and the process's metrics beside it.
func NewRoot() *Root {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
		// A metric that can't be registered is left out: the process goes on.
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

// Close reports what is left and ends the reporting goroutine.
func (r *Root) Close() error { return r.closer.Close() }
