package routing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/wire"
)

// threeSpeeds returns a router with a fast, a mean and a very slow target.
func threeSpeeds() *ShortestExpectedDelay {
	router := NewShortestExpectedDelay(source())
	fill(router, 3)
	for range 3 {
		teach(router, 0, testRun/2)
		teach(router, 1, testRun)
		teach(router, 2, 10*testRun)
	}
	return router
}

func TestExpectedOrder(t *testing.T) {
	router := threeSpeeds()
	picked := func() string {
		choice, _ := router.Pick(testRequest, testStart)
		return choice.Sidecar
	}
	must.Eq(t, "s0", picked())
	send(router, 0, testSlots, testStart)
	must.Eq(t, "s0", picked(), must.Sprint("a short wait at the fast one beats twice the run time"))
	send(router, 0, 2, testStart)
	must.Eq(t, "s1", picked())
	send(router, 1, 10, testStart)
	must.Eq(t, "", picked(), must.Sprint("a tenth of the speed is worse than to wait"))
	stalled := testStart.Add(time.Minute)
	choice, ok := router.Pick(testRequest, stalled)
	must.True(t, ok, must.Sprint("targets that hang are not waited for"))
	must.Eq(t, "s2", choice.Sidecar)
}

func TestExpectedPrefersNearZone(t *testing.T) {
	router := NewShortestExpectedDelay(source())
	far := testTarget(0)
	far.Zone = "schwabing"
	router.Upsert(far, wire.Load{}, testStart)
	router.Upsert(testTarget(1), wire.Load{}, testStart)
	for range 20 {
		choice, _ := router.Pick(testRequest, testStart)
		must.Eq(t, "s1", choice.Sidecar)
	}
}

func TestExpectedSpreadsOverEqualTargets(t *testing.T) {
	router := NewShortestExpectedDelay(source())
	fill(router, 11)
	for range 44 {
		choice, ok := router.Pick(testRequest, testStart)
		must.True(t, ok)
		router.Dispatched(choice.Incarnation, testStart)
	}
	for _, known := range router.list {
		must.Eq(t, 4, known.outstanding)
	}
}

func TestExpectedLargeFleetFindsTheOnlyRoom(t *testing.T) {
	const size = 400
	router := NewShortestExpectedDelay(source())
	fill(router, size)
	for i := range size {
		if i != 217 {
			send(router, i, 10, testStart)
		}
	}
	choice, ok := router.Pick(testRequest, testStart)
	must.True(t, ok)
	must.Eq(t, "s217", choice.Sidecar)
}

func TestMeasuredOutweighsDeclared(t *testing.T) {
	router := NewShortestExpectedDelay(source())
	fill(router, 1)
	request := testRequest
	request.Declared = time.Hour
	choice, _ := router.Pick(request, testStart)
	must.Greater(t, 30*time.Minute, choice.ExpectedTime)
	teach(router, 0, testRun)
	choice, _ = router.Pick(request, testStart)
	must.Between(t, testRun, choice.ExpectedTime, testRun+10*time.Millisecond)
	must.Eq(t, 2*testRun, choice.MaxQueueWait.Round(time.Millisecond))
}

func TestSlownessIsSeparatedFromClass(t *testing.T) {
	router := threeSpeeds()
	ratio := router.list[2].slowness.value / router.list[0].slowness.value
	must.Between(t, 15.0, ratio, 25.0)
	heavy := done(4 * testRun)
	heavy.Class = "dossier"
	for range 200 {
		router.Finished(testTarget(1).Incarnation, heavy, testStart)
	}
	ratio = router.list[1].slowness.value / router.list[0].slowness.value
	must.Between(t, 1.5, ratio, 3.0)
}

func TestNetworkIsMeasured(t *testing.T) {
	router := NewShortestExpectedDelay(source())
	fill(router, 1)
	report := done(testRun)
	report.QueueWait = 30 * time.Millisecond
	report.Elapsed = testRun + report.QueueWait + 7*time.Millisecond
	router.Finished(testTarget(0).Incarnation, report, testStart)
	must.Eq(t, 7*time.Millisecond, seconds(router.list[0].networkSeconds("", testStart)).Round(time.Microsecond))
}

func TestFastFailingTargetIsEjected(t *testing.T) {
	router := NewShortestExpectedDelay(source())
	fill(router, 4)
	for i := 1; i < 4; i++ {
		teach(router, i, testRun)
	}
	failing := testTarget(0).Incarnation
	now := testStart
	sent := 0
	step := func() {
		choice, ok := router.Pick(testRequest, now)
		must.True(t, ok)
		router.Dispatched(choice.Incarnation, now)
		report := done(testRun)
		if choice.Incarnation == failing {
			sent++
			report.RunTime, report.TaskStatus = time.Millisecond, 500
		}
		router.Finished(choice.Incarnation, report, now)
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
	must.Eq(t, 1, probes, must.Sprint("one probe at a time"))
}

func TestReportVerdicts(t *testing.T) {
	cases := []struct {
		report DispatchResult
		want   verdict
	}{
		{DispatchResult{Status: wire.RunDone, TaskStatus: 200}, verdictGood},
		{DispatchResult{Status: wire.RunDone, TaskStatus: 399}, verdictGood},
		{DispatchResult{Status: wire.RunDone, TaskStatus: 400}, verdictBad},
		{DispatchResult{Status: wire.RunDone, TaskStatus: 408}, verdictBad},
		{DispatchResult{Status: wire.RunDone, TaskStatus: 409}, verdictNone},
		{DispatchResult{Status: wire.RunDone, TaskStatus: 410}, verdictBad},
		{DispatchResult{Status: wire.RunUnknown}, verdictBad},
		{DispatchResult{Status: wire.RunDuplicate}, verdictNone},
		{DispatchResult{Status: wire.RunNotStarted, Reason: wire.ReasonQueueFull}, verdictNone},
		{DispatchResult{Status: wire.RunNotStarted, Reason: wire.ReasonWithdrawn}, verdictNone},
		{DispatchResult{Status: wire.RunNotStarted, Reason: wire.ReasonMinionRefused}, verdictBad},
		{DispatchResult{Status: wire.RunNotStarted, Reason: wire.ReasonNoMinion}, verdictNone},
	}
	for _, c := range cases {
		must.Eq(t, c.want, c.report.verdict(), must.Sprintf("%+v", c.report))
	}
}

func TestCapacity(t *testing.T) {
	router := NewShortestExpectedDelay(source())
	must.Eq(t, Capacity{}, router.Capacity(testStart))
	fill(router, 2)
	teach(router, 0, testRun)
	send(router, 1, 3, testStart)
	router.SetReady(testTarget(1).Incarnation, false)
	got := router.Capacity(testStart)
	must.Eq(t, 40, int(got.TasksPerSecond+0.5))
	got.TasksPerSecond = 0
	must.Eq(t, Capacity{Targets: 1, Slots: testSlots, FreeSlots: testSlots, Headroom: testSlots + testSlots/slotsPerQueued, LargestMemoryBytes: 1 << 30}, got)
	send(router, 0, 3, testStart)
	got = router.Capacity(testStart)
	must.EqOp(t, 3, got.InFlight)
	must.EqOp(t, testSlots+testSlots/slotsPerQueued-3, got.Headroom)
	send(router, 0, 20, testStart)
	must.EqOp(t, 0, router.Capacity(testStart).Headroom)
}

// TestTargetThatWasSlowIsTriedAgain delays a target's replies for a time. Under
// a load that never quite fills the others it must get work again afterwards.
func TestTargetThatWasSlowIsTriedAgain(t *testing.T) {
	router := NewShortestExpectedDelay(source())
	fill(router, 2)
	for range networkMemory {
		teach(router, 0, testRun)
		teach(router, 1, testRun)
		late := done(testRun)
		late.Elapsed = 5 * time.Second
		router.Finished(testTarget(0).Incarnation, late, testStart)
	}
	send(router, 1, testSlots, testStart)
	picked := func(now time.Time) string {
		router.Dispatched(testTarget(1).Incarnation, now)
		router.Finished(testTarget(1).Incarnation, done(testRun), now)
		choice, _ := router.Pick(testRequest, now)
		return choice.Sidecar
	}
	must.Eq(t, "s1", picked(testStart))
	must.Eq(t, "s0", picked(testStart.Add(15*time.Second)))
}
