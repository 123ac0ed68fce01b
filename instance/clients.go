package instance

import (
	"net/http"
	"runtime/debug"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/connguard"
	"github.com/figring/figring/decision/intake"
	"github.com/figring/figring/manifest"
)

// pressureShare is the part of the bytes for unfinished requests by which the soft memory
// limit rises while clients use many, as a divisor. With the whole, the resident set comes
// close to the smallest machine.
const pressureShare = 2

// writeTimeout bounds the time for writing an answer of the readiness and status listeners.
const writeTimeout = 10 * time.Second

// newGuard returns the guard of all listeners that clients reach.
func newGuard(limits intake.Limits, holder *manifest.Holder, log *eventlog.Log, scope tally.Scope) *connguard.Guard {
	counters := make(map[connguard.Event]tally.Counter)
	for _, event := range connguard.Events {
		counters[event] = scope.Tagged(map[string]string{metrics.TagReason: string(event)}).Counter(metrics.ClientsLimited)
	}
	connections, bytes := scope.Gauge(metrics.ClientConnections), scope.Gauge(metrics.ClientBytes)
	return connguard.New(connguard.Options{
		Limits:  limits,
		Headers: func() connguard.HeaderLimits { return headerLimits(holder) },
		Observe: func(event connguard.Event, listener, client string) {
			counters[event].Inc(1)
			kind := eventlog.KindClientClosed
			if event == connguard.RequestRefused || event == connguard.ConnectionRefused {
				kind = eventlog.KindClientRefused
			}
			log.Routine(kind).Str(eventlog.FieldReason, string(event)).Str(eventlog.FieldListener, listener).Str(eventlog.FieldPeer, client).Msg("")
		},
		UnderPressure: func(underPressure bool) { setMemoryLimit(limits, underPressure) },
		Usage: func(open int, buffered int64) {
			connections.Update(float64(open))
			bytes.Update(float64(buffered))
		},
	})
}

// headerLimits returns the limits of headers in the current manifest.
func headerLimits(holder *manifest.Holder) connguard.HeaderLimits {
	current := holder.Newest().Manifest
	if current == nil {
		return connguard.HeaderLimits{}
	}
	return connguard.HeaderLimits{Bytes: current.Limits.HeaderBytes, Timeout: current.Limits.HeaderTimeout}
}

// setMemoryLimit sets the soft memory limit of the Go runtime. With the usual limit the
// garbage collector would run all the time while clients use many bytes.
func setMemoryLimit(limits intake.Limits, underPressure bool) {
	limit := int64(memoryLimit)
	if underPressure {
		limit += limits.Bytes / pressureShare
	}
	debug.SetMemoryLimit(limit)
}

// newServer returns a server for a listener of the guard.
func newServer(handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	connguard.Attach(server)
	return server
}
