package routing

import (
	"math"
	"time"

	"github.com/figring/figring/wire"
)

const (
	// slotsPerQueuedTask is the number of slots for which one task may queue at a
	// sidecar. The queue only bridges the round trip between two tasks.
	slotsPerQueuedTask = 4
	// slownessSamples is the averaging window of a target's slowness, in run
	// times.
	slownessSamples = 32
	// minSlowness and maxSlowness bound a single sample of a target's slowness.
	minSlowness = 1.0 / 32
	maxSlowness = 32.0
	// roundTripSamples is the averaging window of a target's round trip.
	roundTripSamples = 32
	// sameZoneRoundTrip and otherZoneRoundTrip are assumed until a round trip is
	// measured.
	sameZoneRoundTrip  = 300 * time.Microsecond
	otherZoneRoundTrip = 3 * time.Millisecond
	// loadFadeTime is the time in which the last reported number of tasks of
	// other entries is replaced by its average, because it changes with each of
	// their jobs.
	loadFadeTime = 200 * time.Millisecond
	// loadExpiry is the age at which a report no longer counts. Without it a
	// target that was reported full would count as full until its next message.
	loadExpiry = 4 * time.Second
	// sampleFreshTime is the time after the last sample for which the measured
	// slowness and round trip count in full. Their weight then halves every
	// sampleHalfLife. Without this decay a target that was slow for a time would
	// never be tried again, because a target that gets no tasks is not measured.
	sampleFreshTime = 2 * time.Second
	sampleHalfLife  = time.Second
	// otherTasksSamples is the averaging window of the number of tasks of other
	// entries, in reports.
	otherTasksSamples = 16
)

// target holds what is known about one incarnation of a sidecar.
type target struct {
	info wire.Target
	load wire.Load
	// ready reports whether this entry may send tasks to the target, allowed
	// whether the bundle lets it get any.
	ready   bool
	allowed bool
	// outstanding counts the dispatches of this entry in progress.
	outstanding int
	// otherTasks is the number of tasks of other entries at the target according
	// to the last report, which was received at reportedAt. otherTasksAverage is
	// its average over the reports.
	otherTasks        int
	otherTasksAverage average
	reportedAt        time.Time
	// slowness is the run time here relative to the mean; 2 is half as fast.
	slowness average
	// roundTrip is the measured network time of a dispatch in seconds.
	roundTrip average
	// measuredAt is the time of the last sample of slowness or roundTrip.
	measuredAt time.Time
	// progressAt is the time at which a task last ended here, or at which a task
	// was sent while none was outstanding, whichever is later.
	progressAt time.Time
}

// available reports whether the target may get any task, regardless of headroom
// and health.
func (t *target) available() bool {
	return t.ready && t.allowed && t.info.State == wire.TargetReady && t.info.Slots > 0
}

// inFlight returns the estimated number of tasks that run or queue at the target.
func (t *target) inFlight(now time.Time) int {
	if t.otherTasks == 0 && t.otherTasksAverage.value == 0 {
		return t.outstanding
	}
	return t.outstanding + t.otherTasksAt(now)
}

// otherTasksAt estimates the number of tasks of other entries. With the age of the
// last report it moves from the reported number to the average within
// loadFadeTime, and from the average to zero at loadExpiry.
func (t *target) otherTasksAt(now time.Time) int {
	age := now.Sub(t.reportedAt)
	if age >= loadExpiry {
		return 0
	}
	recent := max(0, 1-float64(age)/float64(loadFadeTime))
	average := min(1, float64(loadExpiry-age)/float64(loadExpiry-loadFadeTime)) * t.otherTasksAverage.value
	return int(math.Round(recent*float64(t.otherTasks) + (1-recent)*average))
}

// capacity returns the number of tasks that may run or queue at the target at once.
func (t *target) capacity() int {
	return t.info.Slots + max(1, t.info.Slots/slotsPerQueuedTask)
}

func (t *target) full(now time.Time) bool {
	return t.inFlight(now) >= t.capacity()
}

// accepts reports whether the target may get the task, regardless of headroom and
// health.
func (t *target) accepts(request *Request) bool {
	if !t.available() || !t.fits(request.Size) {
		return false
	}
	for _, name := range request.Exclude {
		if name == t.info.Sidecar {
			return false
		}
	}
	return true
}

// fits reports whether the memory of the target is large enough; a target that does
// not report its memory fits every task.
func (t *target) fits(size int64) bool {
	return t.info.MemoryBytes == 0 || size <= t.info.MemoryBytes
}

// setLoad records a reported load unless the same or a newer one is known. Tasks
// beyond the outstanding ones of this entry count as those of other entries.
func (t *target) setLoad(load wire.Load, now time.Time) {
	if load.Sequence <= t.load.Sequence {
		return
	}
	t.load = load
	t.reportedAt = now
	t.otherTasks = max(0, load.Running+load.Queued-t.outstanding)
	t.otherTasksAverage.add(float64(t.otherTasks), otherTasksSamples)
}

// sampleWeight returns the weight, from 0 to 1, of the samples at now.
func (t *target) sampleWeight(now time.Time) float64 {
	overdue := now.Sub(t.measuredAt) - sampleFreshTime
	if overdue <= 0 {
		return 1
	}
	return math.Exp2(-overdue.Seconds() / sampleHalfLife.Seconds())
}

// slownessAt returns the slowness with the samples weighted by their age.
func (t *target) slownessAt(now time.Time) float64 {
	decayed := t.slowness.decayed(t.sampleWeight(now), 1)
	return decayed.valueOr(1)
}

// roundTripSeconds returns the expected round trip from a zone in seconds, with the
// samples weighted by their age.
func (t *target) roundTripSeconds(zone string, now time.Time) float64 {
	prior := roundTripPrior(zone, t.info.Zone).Seconds()
	decayed := t.roundTrip.decayed(t.sampleWeight(now), prior)
	return decayed.valueOr(prior)
}

func roundTripPrior(from, to string) time.Duration {
	if from == to {
		return sameZoneRoundTrip
	}
	return otherZoneRoundTrip
}

// decaySamples reduces the weight of the earlier samples by their age. It is called
// before a sample is added at now.
func (t *target) decaySamples(now time.Time) {
	weight := t.sampleWeight(now)
	t.slowness = t.slowness.decayed(weight, 1)
	t.roundTrip = t.roundTrip.decayed(weight, otherZoneRoundTrip.Seconds())
	t.measuredAt = now
}
