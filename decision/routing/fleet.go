package routing

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/figring/figring/decision/ejection"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// Fleet is the knowledge of targets that every router shares. It implements
// Router but for Pick.
type Fleet struct {
	rand      *rand.Rand
	open      func(wire.Target) bool
	list      []*target
	position  map[model.Incarnation]int
	current   map[string]model.Incarnation
	estimator estimator
	ejection  *ejection.Detector[model.Incarnation, classKey]
}

func newFleet(source *rand.Rand) Fleet {
	return Fleet{
		rand:      source,
		open:      func(wire.Target) bool { return true },
		position:  make(map[model.Incarnation]int),
		current:   make(map[string]model.Incarnation),
		estimator: newEstimator(),
		ejection:  ejection.New[model.Incarnation, classKey](0),
	}
}

// Upsert implements Router.
func (f *Fleet) Upsert(info wire.Target, load wire.Load, now time.Time) {
	if f.superseded(info) {
		return
	}
	known := f.find(info.Incarnation)
	if known == nil {
		known = f.add(info, now)
	}
	known.info = info
	known.open = f.open(info)
	known.setLoad(load, now)
}

// superseded reports whether a newer incarnation of the sidecar is known. The
// identifiers of one name are UUIDs of version 7, which ascend in time.
func (f *Fleet) superseded(info wire.Target) bool {
	return strings.Compare(string(info.Incarnation), string(f.current[info.Sidecar])) < 0
}

func (f *Fleet) add(info wire.Target, now time.Time) *target {
	added := &target{ready: true, progress: now}
	if old := f.find(f.current[info.Sidecar]); old != nil {
		added.slowness = old.slowness
		added.network = old.network
		added.measuredAt = old.measuredAt
		f.Remove(old.info.Incarnation)
	}
	f.position[info.Incarnation] = len(f.list)
	f.list = append(f.list, added)
	f.current[info.Sidecar] = info.Incarnation
	f.ejection.Add(info.Incarnation)
	return added
}

func (f *Fleet) find(incarnation model.Incarnation) *target {
	at, ok := f.position[incarnation]
	if !ok {
		return nil
	}
	return f.list[at]
}

// Remove implements Router.
func (f *Fleet) Remove(incarnation model.Incarnation) {
	at, ok := f.position[incarnation]
	if !ok {
		return
	}
	if name := f.list[at].info.Sidecar; f.current[name] == incarnation {
		delete(f.current, name)
	}
	last := len(f.list) - 1
	f.list[at] = f.list[last]
	f.position[f.list[at].info.Incarnation] = at
	f.list[last] = nil
	f.list = f.list[:last]
	delete(f.position, incarnation)
	f.ejection.Remove(incarnation)
}

// SetReady implements Router.
func (f *Fleet) SetReady(incarnation model.Incarnation, ready bool) {
	if known := f.find(incarnation); known != nil {
		known.ready = ready
	}
}

// SetAllowed implements Router.
func (f *Fleet) SetAllowed(open func(wire.Target) bool) {
	f.open = open
	for _, known := range f.list {
		known.open = open(known.info)
	}
}

// SetMaxEjectionPercent implements Router.
func (f *Fleet) SetMaxEjectionPercent(percent int) {
	f.ejection.SetMaxEjectionPercent(percent)
}

// Dispatched implements Router.
func (f *Fleet) Dispatched(incarnation model.Incarnation, now time.Time) {
	known := f.find(incarnation)
	if known == nil {
		return
	}
	if known.outstanding == 0 {
		known.progress = now
	}
	known.outstanding++
	f.ejection.Started(incarnation, now)
}

// Finished implements Router.
func (f *Fleet) Finished(incarnation model.Incarnation, report DispatchResult, now time.Time) {
	known := f.find(incarnation)
	if known == nil {
		return
	}
	known.outstanding = max(0, known.outstanding-1)
	known.progress = now
	known.setLoad(report.Load, now)
	f.learnHealth(incarnation, report, now)
	if report.verdict() == verdictGood {
		f.learnSpeed(known, report, now)
	}
}

func (f *Fleet) learnHealth(incarnation model.Incarnation, report DispatchResult, now time.Time) {
	said := report.verdict()
	if said == verdictNone {
		f.ejection.Inconclusive(incarnation)
		return
	}
	key := classKey{report.Caller, report.Class}
	f.ejection.Result(incarnation, key, said == verdictBad, now)
}

// learnSpeed splits a run time into the class's part and the target's part.
func (f *Fleet) learnSpeed(known *target, report DispatchResult, now time.Time) {
	if report.RunTime <= 0 {
		return
	}
	known.forgetOld(now)
	key := classKey{report.Caller, report.Class}
	seconds := report.RunTime.Seconds()
	if expected, ok := f.estimator.known(key); ok {
		sample := min(max(seconds/expected, minSlowness), maxSlowness)
		known.slowness.add(sample, speedMemory)
	}
	f.estimator.add(key, seconds/known.slowness.or(1))
	if report.Elapsed > 0 {
		way := report.Elapsed - report.RunTime - report.QueueWait
		known.network.add(max(0, way.Seconds()), networkMemory)
	}
}

// eligible reports whether a task may be sent to the target now.
func (f *Fleet) eligible(known *target, request *Request, now time.Time) bool {
	return !known.full(now) && f.suitable(known, request, now)
}

// suitable reports whether the target could run the task if it had room.
func (f *Fleet) suitable(known *target, request *Request, now time.Time) bool {
	return known.accepts(request) && f.healthy(known, now)
}

// healthy consults the detector only when something is ejected at all, because
// Pick asks for every target of every task.
func (f *Fleet) healthy(known *target, now time.Time) bool {
	return f.ejection.Ejected() == 0 || f.ejection.State(known.info.Incarnation, now) != ejection.Ejected
}

// Capacity implements Router.
func (f *Fleet) Capacity(now time.Time) Capacity {
	total := Capacity{LargestMemoryBytes: f.largestMemory()}
	speed := 0.0
	for _, known := range f.list {
		if !known.takes() || !f.healthy(known, now) {
			continue
		}
		total.Targets++
		total.Slots += known.info.Slots
		busy := known.busy(now)
		total.InFlight += busy
		total.Headroom += max(0, known.capacity()-busy)
		total.FreeSlots += max(0, known.info.Slots-busy)
		speed += float64(known.info.Slots) / known.slowness.or(1)
	}
	if mean := f.estimator.overall.or(0); mean > 0 {
		total.TasksPerSecond = speed / mean
	}
	return total
}

func (f *Fleet) largestMemory() int64 {
	largest := int64(0)
	for _, known := range f.list {
		if known.info.MemoryBytes == 0 {
			return 0
		}
		largest = max(largest, known.info.MemoryBytes)
	}
	return largest
}

// choose makes a Choice of a target with the expected run time in seconds.
func choose(known *target, run, expected float64) Choice {
	return Choice{
		Sidecar:      known.info.Sidecar,
		Incarnation:  known.info.Incarnation,
		Address:      known.info.Address,
		MaxQueueWait: max(minMaxQueue, seconds(maxQueueRuns*run)),
		ExpectedTime: seconds(expected),
	}
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
