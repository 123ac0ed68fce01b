package routing

import (
	"math"
	"time"

	"github.com/figring/figring/wire"
)

const (
	// slotsPerQueued is the number of slots for which one task may queue at a
	// sidecar. The queue only hides the round trip between two tasks.
	slotsPerQueued = 4
	// speedMemory is the number of run times that a target's speed looks back on.
	speedMemory = 32
	// minSlowness and maxSlowness bound a single sample of a target's slowness.
	minSlowness = 1.0 / 32
	maxSlowness = 32.0
	// networkMemory is the number of round trips that the estimate looks back on.
	networkMemory = 32
	// sameZoneNetwork and otherZoneNetwork are assumed until one is measured.
	sameZoneNetwork  = 300 * time.Microsecond
	otherZoneNetwork = 3 * time.Millisecond
	// loadFresh is the time in which a reported load of other entries gives
	// way to what they usually have there: it changes with each of their jobs.
	loadFresh = 200 * time.Millisecond
	// loadGone is when nothing of it is assumed to be there any more: a target
	// that was full would otherwise stay so until its next message.
	loadGone = 4 * time.Second
	// measureFresh is how long a measured speed or round trip is trusted without
	// a further sample, and measureHalving the time in which it halves after
	// that. A target that was slow for a time would otherwise never be tried
	// again, because nothing more is measured where nothing is sent.
	measureFresh   = 2 * time.Second
	measureHalving = time.Second
	// usualMemory is the number of reports that the usual load looks back on.
	usualMemory = 16
)

// target is what is known of one incarnation of a sidecar.
type target struct {
	info wire.Target
	load wire.Load
	// ready is the entry's own say, open the bundle's.
	ready bool
	open  bool
	// outstanding counts this entry's dispatches in progress.
	outstanding int
	// others is the number of tasks there that other entries had sent at the
	// last report, at reportedAt; usual is its average.
	others     int
	usual      average
	reportedAt time.Time
	// slowness is the run time here relative to the mean; 2 is half as fast.
	slowness average
	network  average
	// measuredAt is the time of the last sample of the two.
	measuredAt time.Time
	// progress is the last time at which something ended here, or at which the
	// first of the tasks in progress was sent.
	progress time.Time
}

// takes reports whether the target may get work at all.
func (t *target) takes() bool {
	return t.ready && t.open && t.info.State == wire.TargetReady && t.info.Slots > 0
}

// busy returns the number of tasks that are expected to be at the target.
func (t *target) busy(now time.Time) int {
	if t.others == 0 && t.usual.value == 0 {
		return t.outstanding
	}
	return t.outstanding + t.othersAt(now)
}

// othersAt estimates the tasks of other entries from the last report, which
// fades to the usual load, which fades to nothing.
func (t *target) othersAt(now time.Time) int {
	age := now.Sub(t.reportedAt)
	if age >= loadGone {
		return 0
	}
	recent := max(0, 1-float64(age)/float64(loadFresh))
	usual := min(1, float64(loadGone-age)/float64(loadGone-loadFresh)) * t.usual.value
	return int(math.Round(recent*float64(t.others) + (1-recent)*usual))
}

// capacity returns the number of tasks that may be at the target at once.
func (t *target) capacity() int {
	return t.info.Slots + max(1, t.info.Slots/slotsPerQueued)
}

func (t *target) full(now time.Time) bool {
	return t.busy(now) >= t.capacity()
}

// accepts reports whether the target may get the task, but for its room and
// its health.
func (t *target) accepts(request *Request) bool {
	if !t.takes() || !t.fits(request.Size) {
		return false
	}
	for _, name := range request.Exclude {
		if name == t.info.Sidecar {
			return false
		}
	}
	return true
}

func (t *target) fits(size int64) bool {
	return t.info.MemoryBytes == 0 || size <= t.info.MemoryBytes
}

// setLoad takes in a report unless a newer one is known. What is there beyond
// this entry's own tasks was sent by others.
func (t *target) setLoad(load wire.Load, now time.Time) {
	if load.Sequence <= t.load.Sequence {
		return
	}
	t.load = load
	t.reportedAt = now
	t.others = max(0, load.Running+load.Queued-t.outstanding)
	t.usual.add(float64(t.others), usualMemory)
}

// kept returns the share of what was measured here that still counts.
func (t *target) kept(now time.Time) float64 {
	quiet := now.Sub(t.measuredAt) - measureFresh
	if quiet <= 0 {
		return 1
	}
	return math.Exp2(-quiet.Seconds() / measureHalving.Seconds())
}

// slownessAt returns the run time here relative to the mean.
func (t *target) slownessAt(now time.Time) float64 {
	faded := t.slowness.faded(t.kept(now), 1)
	return faded.or(1)
}

// networkSeconds returns the expected time of a task's way there and back.
func (t *target) networkSeconds(zone string, now time.Time) float64 {
	prior := networkPrior(zone, t.info.Zone).Seconds()
	faded := t.network.faded(t.kept(now), prior)
	return faded.or(prior)
}

func networkPrior(from, to string) time.Duration {
	if from == to {
		return sameZoneNetwork
	}
	return otherZoneNetwork
}

// forgetOld fades what was measured before a sample is added at now.
func (t *target) forgetOld(now time.Time) {
	keep := t.kept(now)
	t.slowness = t.slowness.faded(keep, 1)
	t.network = t.network.faded(keep, otherZoneNetwork.Seconds())
	t.measuredAt = now
}
