package routing

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/figring/figring/decision/ejection"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// Fleet tracks the targets, their load, speed and health. Every router embeds it.
// It implements all methods of Router but Pick.
type Fleet struct {
	rand *rand.Rand
	// allowed reports whether the bundle allows a target to get work.
	allowed func(wire.Target) bool
	targets []*target
	// positions holds the index of each incarnation in targets.
	positions map[model.Incarnation]int
	// newest holds the newest incarnation of each sidecar, by its name.
	newest    map[string]model.Incarnation
	estimator estimator
	detector  *ejection.Detector[model.Incarnation, classKey]
}

func newFleet(source *rand.Rand) Fleet {
	return Fleet{
		rand:      source,
		allowed:   func(wire.Target) bool { return true },
		positions: make(map[model.Incarnation]int),
		newest:    make(map[string]model.Incarnation),
		estimator: newEstimator(),
		detector:  ejection.New[model.Incarnation, classKey](0),
	}
}

// Upsert implements Router.
func (f *Fleet) Upsert(info wire.Target, load wire.Load, now time.Time) {
	if f.superseded(info) {
		return
	}
	t := f.find(info.Incarnation)
	if t == nil {
		t = f.add(info, now)
	}
	t.info = info
	t.allowed = f.allowed(info)
	t.setLoad(load, now)
}

// superseded reports whether a newer incarnation of the sidecar is known. The
// incarnations of a sidecar are UUIDs of version 7, which sort by creation time.
func (f *Fleet) superseded(info wire.Target) bool {
	return strings.Compare(string(info.Incarnation), string(f.newest[info.Sidecar])) < 0
}

// add adds a target. It replaces the previous incarnation of the sidecar, if any,
// and takes over its measured speed and round trip.
func (f *Fleet) add(info wire.Target, now time.Time) *target {
	t := &target{ready: true, progressAt: now}
	if previous := f.find(f.newest[info.Sidecar]); previous != nil {
		t.slowness = previous.slowness
		t.roundTrip = previous.roundTrip
		t.measuredAt = previous.measuredAt
		f.Remove(previous.info.Incarnation)
	}
	f.positions[info.Incarnation] = len(f.targets)
	f.targets = append(f.targets, t)
	f.newest[info.Sidecar] = info.Incarnation
	f.detector.Add(info.Incarnation)
	return t
}

// find returns the target of an incarnation, or nil if it is unknown.
func (f *Fleet) find(incarnation model.Incarnation) *target {
	position, ok := f.positions[incarnation]
	if !ok {
		return nil
	}
	return f.targets[position]
}

// Remove implements Router.
func (f *Fleet) Remove(incarnation model.Incarnation) {
	position, ok := f.positions[incarnation]
	if !ok {
		return
	}
	if name := f.targets[position].info.Sidecar; f.newest[name] == incarnation {
		delete(f.newest, name)
	}
	last := len(f.targets) - 1
	f.targets[position] = f.targets[last]
	f.positions[f.targets[position].info.Incarnation] = position
	f.targets[last] = nil
	f.targets = f.targets[:last]
	delete(f.positions, incarnation)
	f.detector.Remove(incarnation)
}

// SetReady implements Router.
func (f *Fleet) SetReady(incarnation model.Incarnation, ready bool) {
	if t := f.find(incarnation); t != nil {
		t.ready = ready
	}
}

// SetAllowed implements Router.
func (f *Fleet) SetAllowed(allowed func(wire.Target) bool) {
	f.allowed = allowed
	for _, t := range f.targets {
		t.allowed = allowed(t.info)
	}
}

// SetMaxEjectionPercent implements Router.
func (f *Fleet) SetMaxEjectionPercent(percent int) {
	f.detector.SetMaxEjectionPercent(percent)
}

// Dispatched implements Router.
func (f *Fleet) Dispatched(incarnation model.Incarnation, now time.Time) {
	t := f.find(incarnation)
	if t == nil {
		return
	}
	if t.outstanding == 0 {
		t.progressAt = now
	}
	t.outstanding++
	f.detector.Started(incarnation, now)
}

// Finished implements Router.
func (f *Fleet) Finished(incarnation model.Incarnation, result DispatchResult, now time.Time) {
	t := f.find(incarnation)
	if t == nil {
		return
	}
	t.outstanding = max(0, t.outstanding-1)
	t.progressAt = now
	t.setLoad(result.Load, now)
	f.recordHealth(incarnation, result, now)
	if result.verdict() == verdictSuccess {
		f.recordSpeed(t, result, now)
	}
}

// recordHealth passes the verdict on the target to the outlier detector.
func (f *Fleet) recordHealth(incarnation model.Incarnation, result DispatchResult, now time.Time) {
	verdict := result.verdict()
	if verdict == verdictNone {
		f.detector.Inconclusive(incarnation)
		return
	}
	key := classKey{result.Caller, result.Class}
	f.detector.Result(incarnation, key, verdict == verdictFailure, now)
}

// recordSpeed updates the slowness of the target, the expected run time of the
// class, and the round trip. The slowness is the measured run time relative to
// that expected for the class.
func (f *Fleet) recordSpeed(t *target, result DispatchResult, now time.Time) {
	if result.RunTime <= 0 {
		return
	}
	t.decaySamples(now)
	key := classKey{result.Caller, result.Class}
	runSeconds := result.RunTime.Seconds()
	if classRunTime, ok := f.estimator.measured(key); ok {
		sample := min(max(runSeconds/classRunTime, minSlowness), maxSlowness)
		t.slowness.add(sample, slownessSamples)
	}
	f.estimator.add(key, runSeconds/t.slowness.valueOr(1))
	if result.Elapsed > 0 {
		roundTrip := result.Elapsed - result.RunTime - result.QueueWait
		t.roundTrip.add(max(0, roundTrip.Seconds()), roundTripSamples)
	}
}

// eligible reports whether a task may be sent to the target now.
func (f *Fleet) eligible(t *target, request *Request, now time.Time) bool {
	return !t.full(now) && f.suitable(t, request, now)
}

// suitable reports whether a task may be sent to the target once it has headroom.
func (f *Fleet) suitable(t *target, request *Request, now time.Time) bool {
	return t.accepts(request) && f.healthy(t, now)
}

// healthy reports whether the target is not ejected. Pick calls it for each target
// and each task, so it looks up the target's state only if any target is ejected.
func (f *Fleet) healthy(t *target, now time.Time) bool {
	return f.detector.Ejected() == 0 || f.detector.State(t.info.Incarnation, now) != ejection.Ejected
}

// Capacity implements Router.
func (f *Fleet) Capacity(now time.Time) Capacity {
	total := Capacity{LargestMemoryBytes: f.largestMemory()}
	relativeSpeed := 0.0
	for _, t := range f.targets {
		if !t.available() || !f.healthy(t, now) {
			continue
		}
		total.Targets++
		total.Slots += t.info.Slots
		inFlight := t.inFlight(now)
		total.InFlight += inFlight
		total.Headroom += max(0, t.capacity()-inFlight)
		total.FreeSlots += max(0, t.info.Slots-inFlight)
		relativeSpeed += float64(t.info.Slots) / t.slowness.valueOr(1)
	}
	if meanRunTime := f.estimator.overall.valueOr(0); meanRunTime > 0 {
		total.TasksPerSecond = relativeSpeed / meanRunTime
	}
	return total
}

// largestMemory returns the value of Capacity.LargestMemoryBytes.
func (f *Fleet) largestMemory() int64 {
	largest := int64(0)
	for _, t := range f.targets {
		if t.info.MemoryBytes == 0 {
			return 0
		}
		largest = max(largest, t.info.MemoryBytes)
	}
	return largest
}

// newChoice returns the choice of a target. The expected run time and time to
// completion are in seconds.
func newChoice(t *target, runTime, expectedTime float64) Choice {
	return Choice{
		Sidecar:      t.info.Sidecar,
		Incarnation:  t.info.Incarnation,
		Address:      t.info.Address,
		MaxQueueWait: max(minMaxQueueWait, durationOf(maxQueueWaitRunTimes*runTime)),
		ExpectedTime: durationOf(expectedTime),
	}
}

// durationOf converts seconds to a duration.
func durationOf(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
