package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// scanLimit is the largest fleet of which all targets are evaluated.
	scanLimit = 64
	// sampleSize is the number of targets evaluated in a larger fleet.
	sampleSize = 16
	// stallRunTimes is the time without any completion after which a target with
	// outstanding tasks counts as stalled, in expected run times.
	stallRunTimes = 3.0
	// minMaxQueueWait is the least value of Choice.MaxQueueWait.
	minMaxQueueWait = 100 * time.Millisecond
	// maxQueueWaitRunTimes is Choice.MaxQueueWait in expected run times.
	maxQueueWaitRunTimes = 2.0
)

// ShortestExpectedDelay chooses the target with the least expected time to
// completion. That is the sum of the wait for a slot behind the tasks in flight
// there, the run time at the measured speed of the target, the network round
// trip, and a delay for a target that seems to hang.
//
// In a fleet of up to scanLimit targets it evaluates all of them. In a larger one
// it evaluates a random sample, after Mitzenmacher, "The Power of Two Choices in
// Randomized Load Balancing" (2001), but with more than two choices because
// targets differ in speed.
type ShortestExpectedDelay struct{ Fleet }

var _ Router = (*ShortestExpectedDelay)(nil)

// NewShortestExpectedDelay returns a router without targets.
func NewShortestExpectedDelay(source *rand.Rand) *ShortestExpectedDelay {
	return &ShortestExpectedDelay{Fleet: newFleet(source)}
}

// Pick implements Router. It returns false if every suitable target is full, or if
// the targets with headroom would take far longer than the best full one.
func (s *ShortestExpectedDelay) Pick(request Request, now time.Time) (Choice, bool) {
	if len(s.targets) == 0 {
		return Choice{}, false
	}
	baseRunTime := s.estimator.estimate(classKey{request.Caller, request.Class}, request.Declared)
	result := s.scan(&request, baseRunTime, now)
	if result.withHeadroom.target == nil && len(s.targets) > scanLimit {
		result.withHeadroom = s.firstEligible(&request, baseRunTime, now)
	}
	if result.withHeadroom.target == nil || result.shouldWait() {
		return Choice{}, false
	}
	best := result.withHeadroom
	return newChoice(best.target, best.runTime, best.expectedTime), true
}

// scan evaluates all targets of a small fleet, starting at a random one so that
// equal ones are chosen evenly, or a random sample of a large one.
func (s *ShortestExpectedDelay) scan(request *Request, baseRunTime float64, now time.Time) scanResult {
	var result scanResult
	if len(s.targets) > scanLimit {
		for range sampleSize {
			s.consider(&result, s.targets[s.rand.IntN(len(s.targets))], request, baseRunTime, now)
		}
		return result
	}
	start := s.rand.IntN(len(s.targets))
	for _, t := range s.targets[start:] {
		s.consider(&result, t, request, baseRunTime, now)
	}
	for _, t := range s.targets[:start] {
		s.consider(&result, t, request, baseRunTime, now)
	}
	return result
}

// firstEligible returns the first eligible target after a random position. It is
// used in a large fleet when no target of the sample has headroom.
func (s *ShortestExpectedDelay) firstEligible(request *Request, baseRunTime float64, now time.Time) candidate {
	start := s.rand.IntN(len(s.targets))
	for i := range s.targets {
		t := s.targets[(start+i)%len(s.targets)]
		if s.eligible(t, request, now) {
			return s.evaluate(t, request, baseRunTime, t.inFlight(now), now)
		}
	}
	return candidate{}
}

// consider evaluates a target and keeps it in result if it is the best one so far.
// It checks the health of the target last, and only of a better one, because that
// is the most expensive check.
func (s *ShortestExpectedDelay) consider(result *scanResult, t *target, request *Request, baseRunTime float64, now time.Time) {
	if !t.accepts(request) {
		return
	}
	inFlight := t.inFlight(now)
	best := &result.withHeadroom
	if inFlight >= t.capacity() {
		best = &result.full
	}
	evaluated := s.evaluate(t, request, baseRunTime, inFlight, now)
	if evaluated.betterThan(best) && s.healthy(t, now) {
		*best = evaluated
	}
}

// evaluate estimates the time to completion of a task at a target that has
// inFlight tasks.
func (s *ShortestExpectedDelay) evaluate(t *target, request *Request, baseRunTime float64, inFlight int, now time.Time) candidate {
	runTime := baseRunTime * t.slownessAt(now)
	expectedTime := runTime + t.roundTripSeconds(request.Zone, now) + stallDelay(t, runTime, now)
	if ahead := inFlight - t.info.Slots + 1; ahead > 0 {
		expectedTime += runTime * float64(ahead) / float64(t.info.Slots)
	}
	return candidate{target: t, inFlight: inFlight, runTime: runTime, expectedTime: expectedTime}
}

// stallDelay returns by how many seconds the time since the last progress at a
// target with outstanding tasks exceeds stallRunTimes expected run times. Without
// this delay a target that hangs would look like one whose tasks are about to
// complete.
func stallDelay(t *target, runTime float64, now time.Time) float64 {
	if t.outstanding == 0 {
		return 0
	}
	return max(0, now.Sub(t.progressAt).Seconds()-stallRunTimes*runTime)
}
