package sidecar

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/decision/startgate"
	"github.com/figring/figring/wire"
)

const (
	// classLimit bounds the classes with histograms of their own; those beyond
	// share one.
	classLimit = 64
	otherClass = "other"
)

// classMeters are the histograms of one class.
type classMeters struct {
	runTime   tally.Histogram
	queueWait tally.Histogram
}

// meters holds the metrics. It belongs to the goroutine of the core.
type meters struct {
	scope   tally.Scope
	running tally.Gauge
	queued  tally.Gauge
	records tally.Gauge
	starts  tally.Counter
	ends    map[wire.RunStatus]tally.Counter
	backs   map[wire.NotStartedReason]tally.Counter
	classes map[string]classMeters
}

func newMeters(scope tally.Scope) *meters {
	return &meters{
		scope:   scope,
		running: scope.Gauge(metrics.SidecarRunning),
		queued:  scope.Gauge(metrics.SidecarQueued),
		records: scope.Gauge(metrics.SidecarRecords),
		starts:  scope.Counter(metrics.SidecarStarts),
		ends:    make(map[wire.RunStatus]tally.Counter),
		backs:   make(map[wire.NotStartedReason]tally.Counter),
		classes: make(map[string]classMeters),
	}
}

func (m *meters) gauges(gate *startgate.Gate) {
	m.running.Update(float64(gate.Running()))
	m.queued.Update(float64(gate.Queued()))
	m.records.Update(float64(gate.Records()))
}

func (m *meters) started(class string, wait time.Duration) {
	m.starts.Inc(1)
	m.class(class).queueWait.RecordDuration(wait)
}

// ended counts the end of a call; request is nil for an Attach.
func (m *meters) ended(request *wire.RunRequest, end startgate.End) {
	if request == nil {
		return
	}
	counter(m.scope, m.ends, end.Status, metrics.SidecarEnds, metrics.TagStatus).Inc(1)
	switch end.Status {
	case wire.RunNotStarted:
		counter(m.scope, m.backs, end.Reason, metrics.SidecarHandedBack, metrics.TagReason).Inc(1)
	case wire.RunDone:
		m.class(request.Class).runTime.RecordDuration(end.Result.RunTime)
	}
}

func (m *meters) class(name string) classMeters {
	if held, known := m.classes[name]; known {
		return held
	}
	if len(m.classes) >= classLimit && name != otherClass {
		return m.class(otherClass)
	}
	scope := m.scope.Tagged(map[string]string{metrics.TagClass: name})
	made := classMeters{
		runTime:   scope.Histogram(metrics.SidecarRunTime, metrics.DurationBuckets()),
		queueWait: scope.Histogram(metrics.SidecarQueueWait, metrics.DurationBuckets()),
	}
	m.classes[name] = made
	return made
}

func counter[K ~string](scope tally.Scope, held map[K]tally.Counter, key K, name, tag string) tally.Counter {
	if one, known := held[key]; known {
		return one
	}
	one := scope.Tagged(map[string]string{tag: string(key)}).Counter(name)
	held[key] = one
	return one
}
