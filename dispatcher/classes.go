package dispatcher

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/decision/classload"
)

// classReportInterval is the interval at which the metrics of the classes are updated.
const classReportInterval = time.Second

// reportClasses logs the changes of the classes' load and updates their metrics. It must
// be called from the loop.
func (d *Dispatcher) reportClasses(now time.Time) {
	for _, change := range d.core.ClassChanges() {
		d.logClassChange(change)
	}
	if now.Before(d.nextClassReport) {
		return
	}
	d.nextClassReport = now.Add(classReportInterval)
	for _, stats := range d.core.ClassStats(now) {
		d.meters.class(stats)
	}
}

func (d *Dispatcher) logClassChange(change classload.Change) {
	kinds := map[classload.ChangeKind]eventlog.Kind{
		classload.Scarce:        eventlog.KindCapacityScarce,
		classload.Ample:         eventlog.KindCapacityAmple,
		classload.FallbackBegan: eventlog.KindClassLoadLost,
		classload.FallbackEnded: eventlog.KindClassLoadRegained,
	}
	d.deps.Log.Failure(kinds[change.Kind]).Str(eventlog.FieldService, change.Service).Msg("")
	switch change.Kind {
	case classload.FallbackBegan:
		d.meters.classFallback(change.Service).Update(1)
	case classload.FallbackEnded:
		d.meters.classFallback(change.Service).Update(0)
	}
}

// classMeters are the metrics of one class, with the counts that were reported last.
type classMeters struct {
	demand, given           tally.Gauge
	offered, admitted, shed tally.Counter
	reported                classload.Counts
}

// class updates the metrics of a class. Only the loop calls it.
func (m *meters) class(stats classload.Stats) {
	known, ok := m.classes[stats.Class]
	if !ok {
		known = newClassMeters(m.scope, stats.Class)
		m.classes[stats.Class] = known
	}
	if stats.Counts.Below(&known.reported) {
		// The class was removed from the manifest and added again since.
		known.reported = classload.Counts{}
	}
	known.demand.Update(stats.Demand)
	known.given.Update(stats.Given)
	known.offered.Inc(wholeWork(stats.Counts.OfferedWork) - wholeWork(known.reported.OfferedWork))
	known.admitted.Inc(wholeWork(stats.Counts.AdmittedWork) - wholeWork(known.reported.AdmittedWork))
	known.shed.Inc(stats.Counts.Shed - known.reported.Shed)
	known.reported = stats.Counts
}

// wholeWork rounds down, so that the differences of successive sums add up.
func wholeWork(work float64) int64 { return int64(work) }

func newClassMeters(scope tally.Scope, class classload.Class) *classMeters {
	tagged := scope.Tagged(map[string]string{
		metrics.TagService: class.Service,
		metrics.TagClass:   strconv.Itoa(class.Priority),
	})
	return &classMeters{
		demand:   tagged.Gauge(metrics.DispatcherClassDemand),
		given:    tagged.Gauge(metrics.DispatcherClassGiven),
		offered:  tagged.Counter(metrics.DispatcherClassOffered),
		admitted: tagged.Counter(metrics.DispatcherClassAdmitted),
		shed:     tagged.Counter(metrics.DispatcherClassShed),
	}
}

func (m *meters) classFallback(service string) tally.Gauge {
	return m.scope.Tagged(map[string]string{metrics.TagService: service}).Gauge(metrics.DispatcherClassFallback)
}
