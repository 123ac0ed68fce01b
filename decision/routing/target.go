package routing

import (
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
	// loadFresh is how long a reported load of other entries is taken in full,
	// and loadGone is when nothing of it is assumed to be there any more: a
	// target that was once full would otherwise stay so until its next message.
	loadFresh = 500 * time.Millisecond
	loadGone  = 2 * time.Second
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
	// others estimates the tasks there that other entries sent.
	others     int
	reportedAt time.Time
	// slowness is the run time here relative to the mean; 2 is half as fast.
	slowness average
	network  average
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
	if t.others == 0 {
		return t.outstanding
	}
	return t.outstanding + t.othersAt(now)
}

// othersAt returns what is left of the reported load of other entries.
func (t *target) othersAt(now time.Time) int {
	age := now.Sub(t.reportedAt)
	switch {
	case age <= loadFresh:
		return t.others
	case age >= loadGone:
		return 0
	}
	left := float64(loadGone-age) / float64(loadGone-loadFresh)
	return int(float64(t.others)*left + 0.5)
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
}

// networkSeconds returns the expected time of a task's way there and back.
func (t *target) networkSeconds(zone string) float64 {
	prior := otherZoneNetwork
	if zone == t.info.Zone {
		prior = sameZoneNetwork
	}
	return t.network.or(prior.Seconds())
}
