package entry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

const (
	// maxSeries bounds the pairs of caller and class that get their own series
	// in a histogram. A bound is needed because callers choose the names of
	// classes.
	maxSeries = 2048
	// otherClass is the class label of the pairs beyond maxSeries.
	otherClass = "other"
	// codeComplete is the code label of a complete job, which has no model.Code.
	codeComplete = "complete"
)

// Metrics holds an entry's counters and histograms.
type Metrics struct {
	Forwarded    tally.Counter
	OwnerLost    tally.Counter
	Renewals     tally.Counter
	Resubmitted  tally.Counter
	Adoptions    tally.Counter
	Dispatches   tally.Counter
	Redispatched tally.Counter
	Unknown      tally.Counter
	LateResults  tally.Counter
	Withdrawals  tally.Counter
	Revocations  tally.Counter
	// Duplicates, EmptyWithdrawals and IdleRenewals count messages that
	// changed nothing.
	Duplicates       tally.Counter
	EmptyWithdrawals tally.Counter
	IdleRenewals     tally.Counter
	// Retries, Hedges, BudgetRefused and Wasted count the extra dispatches of
	// idempotent requests: those made, those refused by a budget, and those
	// whose result was not needed.
	Retries       tally.Counter
	Hedges        tally.Counter
	BudgetRefused tally.Counter
	Wasted        tally.Counter
	// AnswersDropped counts answers that could not be written to the store.
	AnswersDropped tally.Counter

	scope tally.Scope

	mu       sync.Mutex
	response map[histogramKey]tally.Histogram
	runTime  map[histogramKey]tally.Histogram
	counters map[counterKey]tally.Counter
}

// histogramKey identifies one series of a histogram.
type histogramKey struct{ caller, class string }

// counterKey identifies a counter by its name, its caller label (may be empty)
// and the value of its other label.
type counterKey struct{ name, caller, tag string }

// NewMetrics returns the metrics of an entry that reports to scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{
		Forwarded:        scope.Counter(metrics.EntryForwarded),
		OwnerLost:        scope.Counter(metrics.EntryOwnerLost),
		Renewals:         scope.Counter(metrics.EntryRenewals),
		Resubmitted:      scope.Counter(metrics.EntryResubmitted),
		Adoptions:        scope.Counter(metrics.EntryAdoptions),
		Dispatches:       scope.Counter(metrics.EntryDispatches),
		Redispatched:     scope.Counter(metrics.EntryRedispatched),
		Unknown:          scope.Counter(metrics.EntryUnknownOutcomes),
		LateResults:      scope.Counter(metrics.EntryLateResults),
		Withdrawals:      scope.Counter(metrics.EntryWithdrawals),
		Revocations:      scope.Counter(metrics.EntryRevocations),
		Duplicates:       scope.Counter(metrics.EntryDuplicates),
		EmptyWithdrawals: scope.Counter(metrics.EntryEmptyWithdrawals),
		IdleRenewals:     scope.Counter(metrics.EntryIdleRenewals),
		Retries:          scope.Counter(metrics.EntryRetries),
		Hedges:           scope.Counter(metrics.EntryHedges),
		BudgetRefused:    scope.Counter(metrics.EntryBudgetRefused),
		Wasted:           scope.Counter(metrics.EntryWastedDispatches),
		AnswersDropped:   scope.Counter(metrics.EntryAnswersDropped),
		scope:            scope,
		response:         make(map[histogramKey]tally.Histogram),
		runTime:          make(map[histogramKey]tally.Histogram),
		counters:         make(map[counterKey]tally.Counter),
	}
}

// CountRefusal counts a refusal under its code.
func (m *Metrics) CountRefusal(code model.Code) {
	m.counter(metrics.EntryRefused, metrics.TagCode, string(code), "").Inc(1)
}

// CountHandedBack counts a dispatch whose task was not started, by reason.
func (m *Metrics) CountHandedBack(reason wire.NotStartedReason) {
	m.counter(metrics.EntryHandedBack, metrics.TagReason, string(reason), "").Inc(1)
}

// CountJob counts an answered job under its code and caller.
func (m *Metrics) CountJob(caller string, answer *model.Answer) {
	code := string(answer.Code)
	if answer.State == model.Complete {
		code = codeComplete
	}
	m.counter(metrics.EntryJobs, metrics.TagCode, code, caller).Inc(1)
}

// RecordResponseTime records the time from a caller's request to its answer, as
// measured by the HTTP interface.
func (m *Metrics) RecordResponseTime(caller, class string, elapsed time.Duration) {
	m.histogram(m.response, metrics.EntryResponse, caller, class).RecordDuration(elapsed)
}

// RecordRunTime records the run time that a worker reported for a task.
func (m *Metrics) RecordRunTime(caller, class string, elapsed time.Duration) {
	m.histogram(m.runTime, metrics.EntryRunTime, caller, class).RecordDuration(elapsed)
}

func (m *Metrics) counter(name, tag, value, caller string) tally.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := counterKey{name, caller, value}
	counter, ok := m.counters[key]
	if !ok {
		tags := map[string]string{tag: value}
		if caller != "" {
			tags[metrics.TagCaller] = caller
		}
		counter = m.scope.Tagged(tags).Counter(name)
		m.counters[key] = counter
	}
	return counter
}

func (m *Metrics) histogram(known map[histogramKey]tally.Histogram, name, caller, class string) tally.Histogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := histogramKey{caller, class}
	if histogram, ok := known[key]; ok {
		return histogram
	}
	if len(known) >= maxSeries {
		key.class = otherClass
		if histogram, ok := known[key]; ok {
			return histogram
		}
	}
	tags := map[string]string{metrics.TagCaller: key.caller, metrics.TagClass: key.class}
	histogram := m.scope.Tagged(tags).Histogram(name, metrics.DurationBuckets())
	known[key] = histogram
	return histogram
}

// recordDispatchEnd records the run time of a task that ran, and counts a
// dispatch that did not start or whose end is unknown.
func (m *Metrics) recordDispatchEnd(end dispatchResult) {
	switch end.reply.Status {
	case wire.RunDone:
		m.RecordRunTime(end.dispatch.ref.Key.Caller, end.dispatch.class, end.reply.Result.RunTime)
	case wire.RunNotStarted:
		m.CountHandedBack(end.reply.Reason)
	default:
		m.Unknown.Inc(1)
	}
}

// countLateResult counts a dispatch that ended after its job, unless its task
// was not started.
func (m *Metrics) countLateResult(end dispatchResult) {
	if end.reply.Status != wire.RunNotStarted {
		m.LateResults.Inc(1)
	}
}
