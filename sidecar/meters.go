package sidecar

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/decision/startgate"
	"github.com/figring/figring/wire"
)

const (
	// maxClasses is the maximum number of classes with their own histograms. All
	// further classes share the histograms of otherClass.
	maxClasses = 64
	otherClass = "other"
)

// classMeters contains the histograms of one class.
type classMeters struct {
	runTime   tally.Histogram
	queueWait tally.Histogram
}

// meters contains the metrics of tasks. Only the event loop may use it.
type meters struct {
	scope      tally.Scope
	running    tally.Gauge
	queued     tally.Gauge
	records    tally.Gauge
	starts     tally.Counter
	ends       map[wire.RunStatus]tally.Counter
	handedBack map[wire.NotStartedReason]tally.Counter
	classes    map[string]classMeters
}

func newMeters(scope tally.Scope) *meters {
	return &meters{
		scope:      scope,
		running:    scope.Gauge(metrics.SidecarRunning),
		queued:     scope.Gauge(metrics.SidecarQueued),
		records:    scope.Gauge(metrics.SidecarRecords),
		starts:     scope.Counter(metrics.SidecarStarts),
		ends:       make(map[wire.RunStatus]tally.Counter),
		handedBack: make(map[wire.NotStartedReason]tally.Counter),
		classes:    make(map[string]classMeters),
	}
}

func (m *meters) updateGauges(gate *startgate.Gate) {
	m.running.Update(float64(gate.Running()))
	m.queued.Update(float64(gate.Queued()))
	m.records.Update(float64(gate.Records()))
}

func (m *meters) recordStart(class string, wait time.Duration) {
	m.starts.Inc(1)
	m.forClass(class).queueWait.RecordDuration(wait)
}

// recordEnd counts the end of a Run call. An Attach call, which has no request, is
// not counted.
func (m *meters) recordEnd(request *wire.RunRequest, end startgate.End) {
	if request == nil {
		return
	}
	taggedCounter(m.scope, m.ends, end.Status, metrics.SidecarEnds, metrics.TagStatus).Inc(1)
	switch end.Status {
	case wire.RunNotStarted:
		taggedCounter(m.scope, m.handedBack, end.Reason, metrics.SidecarHandedBack, metrics.TagReason).Inc(1)
	case wire.RunDone:
		m.forClass(request.Class).runTime.RecordDuration(end.Result.RunTime)
	}
}

// forClass returns the histograms of a class and creates them on first use.
func (m *meters) forClass(name string) classMeters {
	if existing, known := m.classes[name]; known {
		return existing
	}
	if len(m.classes) >= maxClasses && name != otherClass {
		return m.forClass(otherClass)
	}
	scope := m.scope.Tagged(map[string]string{metrics.TagClass: name})
	created := classMeters{
		runTime:   scope.Histogram(metrics.SidecarRunTime, metrics.DurationBuckets()),
		queueWait: scope.Histogram(metrics.SidecarQueueWait, metrics.DurationBuckets()),
	}
	m.classes[name] = created
	return created
}

// taggedCounter returns the counter for the tag value key and creates it on first
// use.
func taggedCounter[K ~string](scope tally.Scope, counters map[K]tally.Counter, key K, name, tag string) tally.Counter {
	if existing, known := counters[key]; known {
		return existing
	}
	created := scope.Tagged(map[string]string{tag: string(key)}).Counter(name)
	counters[key] = created
	return created
}
