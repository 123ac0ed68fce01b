package dispatcher

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/decision/classload"
	"github.com/figring/figring/decision/heldjob"
)

// meters are the metrics of a dispatcher.
type meters struct {
	scope     tally.Scope
	manifests metrics.ManifestCounters
	open      tally.Gauge
	jobBytes  tally.Gauge
	targets   tally.Gauge
	manifest  tally.Gauge
	malformed tally.Counter
	// confinements counts how often a route was confined to a few sidecars.
	confinements tally.Counter
	// minionsAvoided counts how often tasks began to avoid a minion for its failures.
	minionsAvoided tally.Counter
	// pairsFound and pairsDropped count interfering pairs of kinds of tasks, keptApart tasks
	// that were kept apart.
	pairsFound, pairsDropped tally.Counter
	keptApart                tally.Counter

	mu       sync.Mutex
	outcomes map[outcomeKey]outcomeMeters
	freed    map[string]tally.Counter

	// classes are the metrics of the classes. Only the loop accesses them.
	classes map[classload.Class]*classMeters
}

// outcomeKey identifies the metrics of one kind of answers.
type outcomeKey struct {
	route   string
	outcome heldjob.Outcome
	reason  heldjob.Reason
}

// outcomeMeters are a counter of answers and a histogram of their response times.
type outcomeMeters struct {
	count    tally.Counter
	response tally.Histogram
}

func newMeters(scope tally.Scope) *meters {
	return &meters{
		scope:     scope,
		manifests: metrics.NewManifestCounters(scope),
		open:      scope.Gauge(metrics.DispatcherOpen),
		jobBytes:  scope.Gauge(metrics.DispatcherJobBytes),
		targets:   scope.Gauge(metrics.DispatcherTargets),
		manifest:  scope.Gauge(metrics.ManifestVersion),
		malformed: scope.Counter(metrics.DispatcherMalformed),

		confinements:   scope.Counter(metrics.DispatcherConfinements),
		minionsAvoided: scope.Counter(metrics.DispatcherMinionsAvoided),
		pairsFound:     scope.Tagged(map[string]string{metrics.TagStatus: "found"}).Counter(metrics.DispatcherPairs),
		pairsDropped:   scope.Tagged(map[string]string{metrics.TagStatus: "dropped"}).Counter(metrics.DispatcherPairs),
		keptApart:      scope.Counter(metrics.DispatcherKeptApart),
		outcomes:       make(map[outcomeKey]outcomeMeters),
		freed:          make(map[string]tally.Counter),
		classes:        make(map[classload.Class]*classMeters),
	}
}

// answered counts an answer and records its response time.
func (m *meters) answered(route string, answer heldjob.Answer, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := outcomeKey{route, answer.Outcome, answer.Reason}
	known, ok := m.outcomes[key]
	if !ok {
		scope := m.scope.Tagged(map[string]string{
			metrics.TagRoute:  route,
			metrics.TagStatus: answer.Outcome.String(),
			metrics.TagReason: string(answer.Reason),
		})
		known = outcomeMeters{
			count:    scope.Counter(metrics.DispatcherJobs),
			response: scope.Histogram(metrics.DispatcherResponse, metrics.DurationBuckets()),
		}
		m.outcomes[key] = known
	}
	known.count.Inc(1)
	known.response.RecordDuration(took)
}

// runTimeRatio records the ratio of measured to declared run time of a route on minions of
// a kind.
func (m *meters) runTimeRatio(kind, route string, ratio float64) {
	tags := map[string]string{metrics.TagMinionKind: kind, metrics.TagRoute: route}
	m.scope.Tagged(tags).Gauge(metrics.DispatcherRunTimeRatio).Update(ratio)
}

func (m *meters) taskFreed(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	counter, ok := m.freed[reason]
	if !ok {
		counter = m.scope.Tagged(map[string]string{metrics.TagReason: reason}).Counter(metrics.DispatcherTasksFreed)
		m.freed[reason] = counter
	}
	counter.Inc(1)
}
