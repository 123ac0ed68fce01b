package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

var testStart = time.Unix(1_800_000_000, 0)

const (
	testSlots   = 8
	testRunTime = 200 * time.Millisecond
)

var testRequest = Request{Caller: "verbund", Class: "eligibility", Zone: "garching"}

func testTarget(index int) wire.Target {
	name := fmt.Sprintf("s%d", index)
	return wire.Target{
		Sidecar: name, Incarnation: model.Incarnation(name + ".1"), Zone: "garching",
		Address: name, State: wire.TargetReady, Slots: testSlots, MemoryBytes: 1 << 30,
	}
}

func newSource() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func routers() map[string]func() Router {
	return map[string]func() Router{
		"shortest expected delay": func() Router { return NewShortestExpectedDelay(newSource()) },
		"random":                  func() Router { return NewRandom(newSource()) },
		"round robin":             func() Router { return NewRoundRobin(newSource()) },
		"least outstanding":       func() Router { return NewLeastOutstanding(newSource()) },
	}
}

// addTargets adds the targets 0 to size-1 to a router.
func addTargets(router Router, size int) {
	for i := range size {
		router.Upsert(testTarget(i), wire.Load{}, testStart)
	}
}

// dispatch records count dispatches to a target.
func dispatch(router Router, index, count int, now time.Time) {
	for range count {
		router.Dispatched(testTarget(index).Incarnation, now)
	}
}

// succeeded returns the result of a task that ended without an error.
func succeeded(run time.Duration) DispatchResult {
	return DispatchResult{Caller: "verbund", Class: "eligibility", Status: wire.RunDone, TaskStatus: 200, RunTime: run}
}

// measure records 40 tasks of the given run time at a target.
func measure(router Router, index int, run time.Duration) {
	for range 40 {
		dispatch(router, index, 1, testStart)
		router.Finished(testTarget(index).Incarnation, succeeded(run), testStart)
	}
}

func TestPickSkipsIneligibleTargets(t *testing.T) {
	incarnation := testTarget(0).Incarnation
	cases := map[string]func(Router, *Request){
		"removed":           func(r Router, _ *Request) { r.Remove(incarnation) },
		"not ready":         func(r Router, _ *Request) { r.SetReady(incarnation, false) },
		"not allowed":       func(r Router, _ *Request) { r.SetAllowed(func(wire.Target) bool { return false }) },
		"too small":         func(_ Router, q *Request) { q.Size = 1<<30 + 1 },
		"excluded":          func(_ Router, q *Request) { q.Exclude = []string{"s0"} },
		"full by own tasks": func(r Router, _ *Request) { dispatch(r, 0, testSlots+testSlots/slotsPerQueuedTask, testStart) },
		"full by tasks of others": func(r Router, _ *Request) {
			r.Upsert(testTarget(0), wire.Load{Running: 8, Queued: 2, Sequence: 1}, testStart)
		},
		"draining": func(r Router, _ *Request) {
			draining := testTarget(0)
			draining.State = wire.TargetDraining
			r.Upsert(draining, wire.Load{}, testStart)
		},
	}
	for kind, create := range routers() {
		for label, makeIneligible := range cases {
			t.Run(kind+"/"+label, func(t *testing.T) {
				router, request := create(), testRequest
				addTargets(router, 1)
				_, ok := router.Pick(request, testStart)
				must.True(t, ok)
				makeIneligible(router, &request)
				_, ok = router.Pick(request, testStart)
				must.False(t, ok)
			})
		}
	}
}

// TestPickNeverExceedsTargetCapacity checks for each router, over random numbers
// of targets, dispatches and completions, that no target gets more tasks than its
// slots and its short queue hold.
func TestPickNeverExceedsTargetCapacity(t *testing.T) {
	for kind, create := range routers() {
		t.Run(kind, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				router := create()
				size := rapid.IntRange(1, 100).Draw(t, "size")
				addTargets(router, size)
				outstanding := make(map[model.Incarnation]int)
				now := testStart
				for range rapid.IntRange(0, 300).Draw(t, "steps") {
					now = now.Add(time.Millisecond)
					choice, ok := router.Pick(testRequest, now)
					if !ok || rapid.IntRange(0, 3).Draw(t, "end") == 0 {
						finishOne(t, router, outstanding, size, now)
						continue
					}
					outstanding[choice.Incarnation]++
					router.Dispatched(choice.Incarnation, now)
					if outstanding[choice.Incarnation] > testSlots+testSlots/slotsPerQueuedTask {
						t.Fatalf("%d tasks in flight at %s", outstanding[choice.Incarnation], choice.Sidecar)
					}
				}
			})
		})
	}
}

// finishOne ends a task at a random target, if it has one.
func finishOne(t *rapid.T, router Router, outstanding map[model.Incarnation]int, size int, now time.Time) {
	from := testTarget(rapid.IntRange(0, size-1).Draw(t, "from")).Incarnation
	if outstanding[from] == 0 {
		return
	}
	outstanding[from]--
	router.Finished(from, succeeded(testRunTime), now)
}

func TestOutdatedMessagesAreIgnored(t *testing.T) {
	router := NewShortestExpectedDelay(newSource())
	older, newer := testTarget(0), testTarget(0)
	newer.Incarnation = "s0.2"
	router.Upsert(older, wire.Load{Running: 10, Sequence: 2}, testStart)
	router.Upsert(older, wire.Load{Running: 0, Sequence: 1}, testStart)
	_, ok := router.Pick(testRequest, testStart)
	must.False(t, ok, must.Sprint("an older load must not replace a newer one"))

	router.Upsert(newer, wire.Load{}, testStart)
	router.Upsert(older, wire.Load{}, testStart)
	router.Finished(older.Incarnation, succeeded(testRunTime), testStart)
	must.Eq(t, 1, router.Capacity(testStart).Targets)
	choice, ok := router.Pick(testRequest, testStart)
	must.True(t, ok)
	must.Eq(t, newer.Incarnation, choice.Incarnation)
}

func TestReportedLoadExpires(t *testing.T) {
	router := NewShortestExpectedDelay(newSource())
	router.Upsert(testTarget(0), wire.Load{Running: 10, Sequence: 1}, testStart)
	_, ok := router.Pick(testRequest, testStart.Add(loadFadeTime))
	must.False(t, ok)
	_, ok = router.Pick(testRequest, testStart.Add(loadExpiry))
	must.True(t, ok)
	must.Eq(t, 0, router.targets[0].inFlight(testStart.Add(10*loadExpiry)))
	must.Eq(t, 5, router.targets[0].inFlight(testStart.Add((loadFadeTime+loadExpiry)/2)))
}

func TestReportedLoadFadesToAverage(t *testing.T) {
	router := NewShortestExpectedDelay(newSource())
	router.Upsert(testTarget(0), wire.Load{Running: 8, Sequence: 1}, testStart)
	router.Upsert(testTarget(0), wire.Load{Running: 4, Sequence: 2}, testStart)
	router.Upsert(testTarget(0), wire.Load{Running: 0, Sequence: 3}, testStart)
	must.Eq(t, 0, router.targets[0].inFlight(testStart))
	must.Eq(t, 2, router.targets[0].inFlight(testStart.Add(loadFadeTime/2)))
	must.Eq(t, 4, router.targets[0].inFlight(testStart.Add(loadFadeTime)))
}

func TestBaselineOrder(t *testing.T) {
	roundRobin := NewRoundRobin(newSource())
	addTargets(roundRobin, 3)
	for i := range 6 {
		choice, _ := roundRobin.Pick(testRequest, testStart)
		must.Eq(t, fmt.Sprintf("s%d", i%3), choice.Sidecar)
	}
	leastOutstanding := NewLeastOutstanding(newSource())
	addTargets(leastOutstanding, 3)
	dispatch(leastOutstanding, 0, 2, testStart)
	dispatch(leastOutstanding, 1, 1, testStart)
	dispatch(leastOutstanding, 2, 3, testStart)
	choice, _ := leastOutstanding.Pick(testRequest, testStart)
	must.Eq(t, "s1", choice.Sidecar)
}

func TestRandomIsUniform(t *testing.T) {
	router := NewRandom(newSource())
	addTargets(router, 4)
	counts := make(map[string]int)
	for range 4000 {
		choice, _ := router.Pick(testRequest, testStart)
		counts[choice.Sidecar]++
	}
	for i := range 4 {
		must.Between(t, 850, counts[fmt.Sprintf("s%d", i)], 1150)
	}
}

// TestFreeSlots queues tasks at one target. They must not reduce the number of free
// slots of the other targets.
func TestFreeSlots(t *testing.T) {
	router := NewShortestExpectedDelay(newSource())
	addTargets(router, 3)
	dispatch(router, 0, testSlots+2, testStart)
	dispatch(router, 1, 3, testStart)
	must.Eq(t, 2*testSlots-3, router.Capacity(testStart).FreeSlots)
}
