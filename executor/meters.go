package executor

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/decision/execution"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// meters are the metrics of an executor.
type meters struct {
	scope          tally.Scope
	manifests      metrics.ManifestCounters
	orderQueueFull tally.Counter
	listsFailed    tally.Counter
	announceFailed tally.Counter
	reports        tally.Counter
	minionCrashes  tally.Counter
	free           tally.Gauge
	queued         tally.Gauge
	sessions       tally.Gauge
	ends           map[work.End]tally.Counter
}

func newMeters(scope tally.Scope) *meters {
	return &meters{
		scope:          scope,
		manifests:      metrics.NewManifestCounters(scope),
		orderQueueFull: scope.Counter(metrics.ExecutorOrderQueueFull),
		listsFailed:    scope.Counter(metrics.ExecutorListsFailed),
		announceFailed: scope.Counter(metrics.ExecutorAnnounceFailed),
		reports:        scope.Counter(metrics.ExecutorReports),
		minionCrashes:  scope.Counter(metrics.ExecutorMinionCrashes),
		free:           scope.Gauge(metrics.ExecutorFreeMilliCPU),
		queued:         scope.Gauge(metrics.ExecutorQueuedMilliCPU),
		sessions:       scope.Gauge(metrics.ExecutorSessions),
		ends:           make(map[work.End]tally.Counter),
	}
}

func (m *meters) start(outcome execution.StartOutcome) {
	m.scope.Tagged(map[string]string{metrics.TagStatus: outcome.String()}).Counter(metrics.ExecutorStarts).Inc(1)
}

func (m *meters) entryAge(entry string, age time.Duration) {
	m.scope.Tagged(map[string]string{metrics.TagEntry: entry}).Gauge(metrics.ExecutorEntryAge).Update(age.Seconds())
}

func (m *meters) refusal(reason session.Refusal) {
	m.scope.Tagged(map[string]string{metrics.TagReason: string(reason)}).Counter(metrics.ExecutorRefused).Inc(1)
}

func (m *meters) end(end work.End) {
	counter, ok := m.ends[end]
	if !ok {
		counter = m.scope.Tagged(map[string]string{metrics.TagStatus: end.String()}).Counter(metrics.ExecutorEnds)
		m.ends[end] = counter
	}
	counter.Inc(1)
}
