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
	testSlots = 8
	testRun   = 200 * time.Millisecond
)

var testRequest = Request{Caller: "verbund", Class: "eligibility", Zone: "garching"}

func testTarget(number int) wire.Target {
	name := fmt.Sprintf("s%d", number)
	return wire.Target{
		Sidecar: name, Incarnation: model.Incarnation(name + ".1"), Zone: "garching",
		Address: name, State: wire.TargetReady, Slots: testSlots, MemoryBytes: 1 << 30,
	}
}

func source() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func routers() map[string]func() Router {
	return map[string]func() Router{
		"expected":          func() Router { return NewShortestExpectedDelay(source()) },
		"random":            func() Router { return NewRandom(source()) },
		"round robin":       func() Router { return NewRoundRobin(source()) },
		"least outstanding": func() Router { return NewLeastOutstanding(source()) },
	}
}

func fill(router Router, size int) {
	for i := range size {
		router.Upsert(testTarget(i), wire.Load{}, testStart)
	}
}

// send dispatches count tasks to a target.
func send(router Router, number, count int, now time.Time) {
	for range count {
		router.Dispatched(testTarget(number).Incarnation, now)
	}
}

func done(run time.Duration) DispatchResult {
	return DispatchResult{Caller: "verbund", Class: "eligibility", Status: wire.RunDone, TaskStatus: 200, RunTime: run}
}

// teach gives a target a measured run time.
func teach(router Router, number int, run time.Duration) {
	for range 40 {
		send(router, number, 1, testStart)
		router.Finished(testTarget(number).Incarnation, done(run), testStart)
	}
}

func TestNeverPicksUnsuitable(t *testing.T) {
	name := testTarget(0).Incarnation
	cases := map[string]func(Router, *Request){
		"removed":     func(r Router, _ *Request) { r.Remove(name) },
		"not ready":   func(r Router, _ *Request) { r.SetReady(name, false) },
		"closed":      func(r Router, _ *Request) { r.SetAllowed(func(wire.Target) bool { return false }) },
		"too small":   func(_ Router, q *Request) { q.Size = 1<<30 + 1 },
		"excluded":    func(_ Router, q *Request) { q.Exclude = []string{"s0"} },
		"full by own": func(r Router, _ *Request) { send(r, 0, testSlots+testSlots/slotsPerQueued, testStart) },
		"full by others": func(r Router, _ *Request) {
			r.Upsert(testTarget(0), wire.Load{Running: 8, Queued: 2, Sequence: 1}, testStart)
		},
		"draining": func(r Router, _ *Request) {
			leaving := testTarget(0)
			leaving.State = wire.TargetDraining
			r.Upsert(leaving, wire.Load{}, testStart)
		},
	}
	for kind, create := range routers() {
		for label, change := range cases {
			t.Run(kind+"/"+label, func(t *testing.T) {
				router, request := create(), testRequest
				fill(router, 1)
				_, ok := router.Pick(request, testStart)
				must.True(t, ok)
				change(router, &request)
				_, ok = router.Pick(request, testStart)
				must.False(t, ok)
			})
		}
	}
}

// TestNeverOverfills checks for every router, over random targets, loads and
// ends, that no target gets more than its slots and its shallow queue.
func TestNeverOverfills(t *testing.T) {
	for kind, create := range routers() {
		t.Run(kind, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				router := create()
				size := rapid.IntRange(1, 100).Draw(t, "size")
				fill(router, size)
				outstanding := make(map[model.Incarnation]int)
				now := testStart
				for range rapid.IntRange(0, 300).Draw(t, "steps") {
					now = now.Add(time.Millisecond)
					choice, ok := router.Pick(testRequest, now)
					if !ok || rapid.IntRange(0, 3).Draw(t, "end") == 0 {
						endOne(t, router, outstanding, size, now)
						continue
					}
					outstanding[choice.Incarnation]++
					router.Dispatched(choice.Incarnation, now)
					if outstanding[choice.Incarnation] > testSlots+testSlots/slotsPerQueued {
						t.Fatalf("%d tasks at %s", outstanding[choice.Incarnation], choice.Sidecar)
					}
				}
			})
		})
	}
}

func endOne(t *rapid.T, router Router, outstanding map[model.Incarnation]int, size int, now time.Time) {
	from := testTarget(rapid.IntRange(0, size-1).Draw(t, "from")).Incarnation
	if outstanding[from] == 0 {
		return
	}
	outstanding[from]--
	router.Finished(from, done(testRun), now)
}

func TestMessagesOutOfOrder(t *testing.T) {
	router := NewShortestExpectedDelay(source())
	older, newer := testTarget(0), testTarget(0)
	newer.Incarnation = "s0.2"
	router.Upsert(older, wire.Load{Running: 10, Sequence: 2}, testStart)
	router.Upsert(older, wire.Load{Running: 0, Sequence: 1}, testStart)
	_, ok := router.Pick(testRequest, testStart)
	must.False(t, ok, must.Sprint("an older load counts"))

	router.Upsert(newer, wire.Load{}, testStart)
	router.Upsert(older, wire.Load{}, testStart)
	router.Finished(older.Incarnation, done(testRun), testStart)
	must.Eq(t, 1, router.Capacity(testStart).Targets)
	choice, ok := router.Pick(testRequest, testStart)
	must.True(t, ok)
	must.Eq(t, newer.Incarnation, choice.Incarnation)
}

func TestReportedLoadFades(t *testing.T) {
	router := NewShortestExpectedDelay(source())
	router.Upsert(testTarget(0), wire.Load{Running: 10, Sequence: 1}, testStart)
	_, ok := router.Pick(testRequest, testStart.Add(loadFresh))
	must.False(t, ok)
	_, ok = router.Pick(testRequest, testStart.Add(loadGone))
	must.True(t, ok)
	must.Eq(t, 0, router.list[0].busy(testStart.Add(10*loadGone)))
	must.Eq(t, 5, router.list[0].busy(testStart.Add((loadFresh+loadGone)/2)))
}

func TestReportedLoadFadesToTheUsual(t *testing.T) {
	router := NewShortestExpectedDelay(source())
	router.Upsert(testTarget(0), wire.Load{Running: 8, Sequence: 1}, testStart)
	router.Upsert(testTarget(0), wire.Load{Running: 4, Sequence: 2}, testStart)
	router.Upsert(testTarget(0), wire.Load{Running: 0, Sequence: 3}, testStart)
	must.Eq(t, 0, router.list[0].busy(testStart))
	must.Eq(t, 2, router.list[0].busy(testStart.Add(loadFresh/2)))
	must.Eq(t, 4, router.list[0].busy(testStart.Add(loadFresh)))
}

func TestBaselineOrder(t *testing.T) {
	robin := NewRoundRobin(source())
	fill(robin, 3)
	for i := range 6 {
		choice, _ := robin.Pick(testRequest, testStart)
		must.Eq(t, fmt.Sprintf("s%d", i%3), choice.Sidecar)
	}
	least := NewLeastOutstanding(source())
	fill(least, 3)
	send(least, 0, 2, testStart)
	send(least, 1, 1, testStart)
	send(least, 2, 3, testStart)
	choice, _ := least.Pick(testRequest, testStart)
	must.Eq(t, "s1", choice.Sidecar)
}

func TestRandomReachesEveryTarget(t *testing.T) {
	router := NewRandom(source())
	fill(router, 4)
	counts := make(map[string]int)
	for range 4000 {
		choice, _ := router.Pick(testRequest, testStart)
		counts[choice.Sidecar]++
	}
	for i := range 4 {
		must.Between(t, 850, counts[fmt.Sprintf("s%d", i)], 1150)
	}
}

// TestFreeSlots lets tasks queue at one target: they take no slot of another.
func TestFreeSlots(t *testing.T) {
	router := NewShortestExpectedDelay(source())
	fill(router, 3)
	send(router, 0, testSlots+2, testStart)
	send(router, 1, 3, testStart)
	must.Eq(t, 2*testSlots-3, router.Capacity(testStart).FreeSlots)
}
