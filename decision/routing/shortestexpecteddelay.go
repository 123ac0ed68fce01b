package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// scanLimit is the number of targets up to which all are looked at.
	scanLimit = 64
	// sampleSize is the number of targets drawn from a larger fleet.
	sampleSize = 16
	// stallRuns is the number of expected run times without any end after
	// which the silence of a busy target counts as delay.
	stallRuns = 3.0
	// minMaxQueue is the least bound for the wait at a sidecar.
	minMaxQueue = 100 * time.Millisecond
	// maxQueueRuns is that bound in expected run times.
	maxQueueRuns = 2.0
)

// ShortestExpectedDelay chooses the target with the least expected time to completion: the
// wait for a slot by the tasks known to be there, the run time at the target's
// measured speed, and the network. Up to scanLimit targets it looks at all of
// them; above, at a random sample, after Mitzenmacher, "The Power of Two
// Choices in Randomized Load Balancing" (2001), with more than two because
// targets differ in speed.
type ShortestExpectedDelay struct{ Fleet }

var _ Router = (*ShortestExpectedDelay)(nil)

// NewShortestExpectedDelay returns a router without targets.
func NewShortestExpectedDelay(source *rand.Rand) *ShortestExpectedDelay {
	return &ShortestExpectedDelay{Fleet: newFleet(source)}
}

// Pick implements Router. It reports false when every suitable target is full,
// and also when what is left would take far longer than to wait for the best.
func (e *ShortestExpectedDelay) Pick(request Request, now time.Time) (Choice, bool) {
	if len(e.list) == 0 {
		return Choice{}, false
	}
	base := e.estimator.expect(classKey{request.Caller, request.Class}, request.Declared)
	found := e.look(&request, base, now)
	if found.open.target == nil && len(e.list) > scanLimit {
		found.open = e.first(&request, base, now)
	}
	if found.open.target == nil || found.waits() {
		return Choice{}, false
	}
	best := found.open
	return choose(best.target, best.run, best.expected), true
}

// look evaluates all targets of a small fleet from a random one on, so that
// equal ones are chosen evenly, or a sample of a large one.
func (e *ShortestExpectedDelay) look(request *Request, base float64, now time.Time) finding {
	var found finding
	if len(e.list) > scanLimit {
		for range sampleSize {
			e.consider(&found, e.list[e.rand.IntN(len(e.list))], request, base, now)
		}
		return found
	}
	start := e.rand.IntN(len(e.list))
	for _, known := range e.list[start:] {
		e.consider(&found, known, request, base, now)
	}
	for _, known := range e.list[:start] {
		e.consider(&found, known, request, base, now)
	}
	return found
}

// first returns any target of a large fleet that has room, when the sample had
// none.
func (e *ShortestExpectedDelay) first(request *Request, base float64, now time.Time) candidate {
	start := e.rand.IntN(len(e.list))
	for i := range e.list {
		known := e.list[(start+i)%len(e.list)]
		if e.eligible(known, request, now) {
			return e.evaluate(known, request, base, known.busy(now), now)
		}
	}
	return candidate{}
}

// consider asks for the health of a target last, and only if it matters,
// because that costs the most.
func (e *ShortestExpectedDelay) consider(found *finding, known *target, request *Request, base float64, now time.Time) {
	if !known.accepts(request) {
		return
	}
	busy := known.busy(now)
	best := &found.open
	if busy >= known.capacity() {
		best = &found.full
	}
	evaluated := e.evaluate(known, request, base, busy, now)
	if evaluated.improves(best) && e.healthy(known, now) {
		*best = evaluated
	}
}

func (e *ShortestExpectedDelay) evaluate(known *target, request *Request, base float64, busy int, now time.Time) candidate {
	run := base * known.slownessAt(now)
	expected := run + known.networkSeconds(request.Zone, now) + stall(known, run, now)
	if ahead := busy - known.info.Slots + 1; ahead > 0 {
		expected += run * float64(ahead) / float64(known.info.Slots)
	}
	return candidate{target: known, busy: busy, run: run, expected: expected}
}

// stall returns the time for which a busy target has been silent beyond what
// is expected. Without it a target that hangs would look like one that is
// about to have room.
func stall(known *target, run float64, now time.Time) float64 {
	if known.outstanding == 0 {
		return 0
	}
	return max(0, now.Sub(known.progress).Seconds()-stallRuns*run)
}
