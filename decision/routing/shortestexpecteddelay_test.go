package routing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/wire"
)

// newRouterOfThreeSpeeds returns a router with a fast target, s0, one of medium
// speed, s1, and a very slow one, s2.
func newRouterOfThreeSpeeds() *ShortestExpectedDelay {
	router := NewShortestExpectedDelay(newSource())
	addTargets(router, 3)
	for range 3 {
		measure(router, 0, testRunTime/2)
		measure(router, 1, testRunTime)
		measure(router, 2, 10*testRunTime)
	}
	return router
}

func TestShortestExpectedDelayOrder(t *testing.T) {
	router := newRouterOfThreeSpeeds()
	picked := func() string {
		choice, _ := router.Pick(testRequest, testStart)
		return choice.Sidecar
	}
	must.Eq(t, "s0", picked())
	dispatch(router, 0, testSlots, testStart)
	must.Eq(t, "s0", picked(), must.Sprint("a short wait at the fast target takes less time than a run of twice the length"))
	dispatch(router, 0, 2, testStart)
	must.Eq(t, "s1", picked())
	dispatch(router, 1, 10, testStart)
	must.Eq(t, "", picked(), must.Sprint("waiting must take less time than a run at a tenth of the speed"))
	stalled := testStart.Add(time.Minute)
	choice, ok := router.Pick(testRequest, stalled)
	must.True(t, ok, must.Sprint("a task must not wait for targets that hang"))
	must.Eq(t, "s2", choice.Sidecar)
}

func TestShortestExpectedDelayPrefersSameZone(t *testing.T) {
	router := NewShortestExpectedDelay(newSource())
	far := testTarget(0)
	far.Zone = "schwabing"
	router.Upsert(far, wire.Load{}, testStart)
	router.Upsert(testTarget(1), wire.Load{}, testStart)
	for range 20 {
		choice, _ := router.Pick(testRequest, testStart)
		must.Eq(t, "s1", choice.Sidecar)
	}
}

func TestShortestExpectedDelaySpreadsOverEqualTargets(t *testing.T) {
	router := NewShortestExpectedDelay(newSource())
	addTargets(router, 11)
	for range 44 {
		choice, ok := router.Pick(testRequest, testStart)
		must.True(t, ok)
		router.Dispatched(choice.Incarnation, testStart)
	}
	for _, target := range router.targets {
		must.Eq(t, 4, target.outstanding)
	}
}

func TestShortestExpectedDelayFindsOnlyHeadroomInLargeFleet(t *testing.T) {
	const size = 400
	router := NewShortestExpectedDelay(newSource())
	addTargets(router, size)
	for i := range size {
		if i != 217 {
			dispatch(router, i, 10, testStart)
		}
	}
	choice, ok := router.Pick(testRequest, testStart)
	must.True(t, ok)
	must.Eq(t, "s217", choice.Sidecar)
}

func TestMeasuredRunTimeReplacesDeclared(t *testing.T) {
	router := NewShortestExpectedDelay(newSource())
	addTargets(router, 1)
	request := testRequest
	request.Declared = time.Hour
	choice, _ := router.Pick(request, testStart)
	must.Greater(t, 30*time.Minute, choice.ExpectedTime)
	measure(router, 0, testRunTime)
	choice, _ = router.Pick(request, testStart)
	must.Between(t, testRunTime, choice.ExpectedTime, testRunTime+10*time.Millisecond)
	must.Eq(t, 2*testRunTime, choice.MaxQueueWait.Round(time.Millisecond))
}

func TestSlownessIsIndependentOfClass(t *testing.T) {
	router := newRouterOfThreeSpeeds()
	ratio := router.targets[2].slowness.value / router.targets[0].slowness.value
	must.Between(t, 15.0, ratio, 25.0)
	long := succeeded(4 * testRunTime)
	long.Class = "dossier"
	for range 200 {
		router.Finished(testTarget(1).Incarnation, long, testStart)
	}
	ratio = router.targets[1].slowness.value / router.targets[0].slowness.value
	must.Between(t, 1.5, ratio, 3.0)
}

func TestRoundTripIsMeasured(t *testing.T) {
	router := NewShortestExpectedDelay(newSource())
	addTargets(router, 1)
	result := succeeded(testRunTime)
	result.QueueWait = 30 * time.Millisecond
	result.Elapsed = testRunTime + result.QueueWait + 7*time.Millisecond
	router.Finished(testTarget(0).Incarnation, result, testStart)
	must.Eq(t, 7*time.Millisecond, durationOf(router.targets[0].roundTripSeconds("", testStart)).Round(time.Microsecond))
}

func TestFastFailingTargetIsEjected(t *testing.T) {
	router := NewShortestExpectedDelay(newSource())
	addTargets(router, 4)
	for i := 1; i < 4; i++ {
		measure(router, i, testRunTime)
	}
	failing := testTarget(0).Incarnation
	now := testStart
	sent := 0
	step := func() {
		choice, ok := router.Pick(testRequest, now)
		must.True(t, ok)
		router.Dispatched(choice.Incarnation, now)
		result := succeeded(testRunTime)
		if choice.Incarnation == failing {
			sent++
			result.RunTime, result.TaskStatus = time.Millisecond, 500
		}
		router.Finished(choice.Incarnation, result, now)
	}
	for range 200 {
		step()
	}
	must.Eq(t, 3, sent)
	must.Eq(t, 3, router.Capacity(now).Targets)

	now = now.Add(5 * time.Second)
	probes := 0
	for range 12 {
		choice, _ := router.Pick(testRequest, now)
		router.Dispatched(choice.Incarnation, now)
		if choice.Incarnation == failing {
			probes++
		}
	}
	must.Eq(t, 1, probes, must.Sprint("an ejected target must get one probe at a time"))
}

func TestDispatchResultVerdicts(t *testing.T) {
	cases := []struct {
		result DispatchResult
		want   verdict
	}{
		{DispatchResult{Status: wire.RunDone, TaskStatus: 200}, verdictSuccess},
		{DispatchResult{Status: wire.RunDone, TaskStatus: 399}, verdictSuccess},
		{DispatchResult{Status: wire.RunDone, TaskStatus: 400}, verdictFailure},
		{DispatchResult{Status: wire.RunDone, TaskStatus: 408}, verdictFailure},
		{DispatchResult{Status: wire.RunDone, TaskStatus: 409}, verdictNone},
		{DispatchResult{Status: wire.RunDone, TaskStatus: 410}, verdictFailure},
		{DispatchResult{Status: wire.RunUnknown}, verdictFailure},
		{DispatchResult{Status: wire.RunDuplicate}, verdictNone},
		{DispatchResult{Status: wire.RunNotStarted, Reason: wire.ReasonQueueFull}, verdictNone},
		{DispatchResult{Status: wire.RunNotStarted, Reason: wire.ReasonWithdrawn}, verdictNone},
		{DispatchResult{Status: wire.RunNotStarted, Reason: wire.ReasonMinionRefused}, verdictFailure},
		{DispatchResult{Status: wire.RunNotStarted, Reason: wire.ReasonNoMinion}, verdictNone},
	}
	for _, c := range cases {
		must.Eq(t, c.want, c.result.verdict(), must.Sprintf("%+v", c.result))
	}
}

func TestCapacity(t *testing.T) {
	router := NewShortestExpectedDelay(newSource())
	must.Eq(t, Capacity{}, router.Capacity(testStart))
	addTargets(router, 2)
	measure(router, 0, testRunTime)
	dispatch(router, 1, 3, testStart)
	router.SetReady(testTarget(1).Incarnation, false)
	got := router.Capacity(testStart)
	must.Eq(t, 40, int(got.TasksPerSecond+0.5))
	got.TasksPerSecond = 0
	must.Eq(t, Capacity{Targets: 1, Slots: testSlots, FreeSlots: testSlots, Headroom: testSlots + testSlots/slotsPerQueuedTask, LargestMemoryBytes: 1 << 30}, got)
	dispatch(router, 0, 3, testStart)
	got = router.Capacity(testStart)
	must.EqOp(t, 3, got.InFlight)
	must.EqOp(t, testSlots+testSlots/slotsPerQueuedTask-3, got.Headroom)
	dispatch(router, 0, 20, testStart)
	must.EqOp(t, 0, router.Capacity(testStart).Headroom)
}

// TestTargetThatWasSlowIsTriedAgain guards against a target that gets no tasks any
// more after its replies were slow for a time. Under a load that never quite fills
// the other targets these got all tasks, so that no new round trip was measured at
// the slow one.
func TestTargetThatWasSlowIsTriedAgain(t *testing.T) {
	router := NewShortestExpectedDelay(newSource())
	addTargets(router, 2)
	for range roundTripSamples {
		measure(router, 0, testRunTime)
		measure(router, 1, testRunTime)
		late := succeeded(testRunTime)
		late.Elapsed = 5 * time.Second
		router.Finished(testTarget(0).Incarnation, late, testStart)
	}
	dispatch(router, 1, testSlots, testStart)
	picked := func(now time.Time) string {
		router.Dispatched(testTarget(1).Incarnation, now)
		router.Finished(testTarget(1).Incarnation, succeeded(testRunTime), now)
		choice, _ := router.Pick(testRequest, now)
		return choice.Sidecar
	}
	must.Eq(t, "s1", picked(testStart))
	must.Eq(t, "s0", picked(testStart.Add(15*time.Second)))
}
