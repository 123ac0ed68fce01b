package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// provePoison makes a task of the route poison.
func provePoison(tracker *Tracker, now time.Time, job, route string) {
	for _, sidecar := range []string{"s1", "s2"} {
		tracker.RecordCrash(now, sidecar, service, crash(run(job, route, 10*time.Millisecond)))
	}
}

// TestRouteIsConfinedForTheOthersInUse checks when a route is confined, and that it is not
// while there is no other route to protect.
func TestRouteIsConfinedForTheOthersInUse(t *testing.T) {
	tracker := New()
	tracker.RecordSubmission(start, "bad", service)
	provePoison(tracker, start, "j1", "bad")
	must.MapEmpty(t, tracker.ConfinedRoutes(start, service, 11))
	tracker.RecordSubmission(start, "other service", "elsewhere")
	must.MapEmpty(t, tracker.ConfinedRoutes(start, service, 11))
	tracker.RecordSubmission(start, "good", service)
	must.Eq(t, map[string]bool{"bad": true}, tracker.ConfinedRoutes(start, service, 11))
	must.MapEmpty(t, tracker.ConfinedRoutes(start, "elsewhere", 11))
	must.Eq(t, []Change{{Route: "bad", Confined: true, BlamedJobs: 1}}, tracker.TakeChanges())
}

// TestRouteOfTaskFoundAloneIsConfined covers a task that crashes minions long after its
// start, so that no crash has a young run of its route.
func TestRouteOfTaskFoundAloneIsConfined(t *testing.T) {
	tracker := New()
	tracker.RecordSubmission(start, "good", service)
	late := run("late", "bad", time.Second)
	for range aloneCrashes {
		tracker.RecordCrash(start, "s1", service, crash(late))
	}
	must.MapEmpty(t, tracker.ConfinedRoutes(start, service, 11))
	late.Alone = true
	must.SliceNotEmpty(t, tracker.RecordCrash(start, "s2", service, crash(late)))
	must.Eq(t, map[string]bool{"bad": true}, tracker.ConfinedRoutes(start, service, 11))
}

// TestSuspectsYieldRoomOfAFullConfinedRoute checks which tasks wait, and for how long.
func TestSuspectsYieldRoomOfAFullConfinedRoute(t *testing.T) {
	tracker := New()
	tracker.RecordSubmission(start, "bad", service)
	tracker.RecordSubmission(start, "good", service)
	provePoison(tracker, start, "proved", "bad")
	tracker.RecordCrash(start, "s3", service, crash(run("young", "bad", 20*time.Millisecond), run("old", "bad", time.Second), run("other", "good", 20*time.Millisecond)))
	tracker.RecordRefusal(start, "bad")
	tracker.RecordRefusal(start, "good")
	must.False(t, tracker.YieldsRoom(start, key("young"), "bad"), must.Sprint("the route is not confined yet"))
	must.MapLen(t, 1, tracker.ConfinedRoutes(start, service, 11))
	must.True(t, tracker.YieldsRoom(start, key("young"), "bad"))
	for _, innocent := range []string{"old", "new"} {
		must.False(t, tracker.YieldsRoom(start, key(innocent), "bad"))
	}
	must.False(t, tracker.YieldsRoom(start, key("other"), "good"))
	must.True(t, tracker.YieldsRoom(start.Add(shortageTime), key("young"), "bad"))
	must.False(t, tracker.YieldsRoom(start.Add(shortageTime+time.Millisecond), key("young"), "bad"))
}

// TestConfinementEnds checks for how long a route stays confined after its last crash.
func TestConfinementEnds(t *testing.T) {
	for jobs, limit := range map[int]time.Duration{1: firstConfineTime, 2: confineTime} {
		tracker := New()
		for i := range jobs {
			provePoison(tracker, start, fmt.Sprint(i), "bad")
		}
		for _, after := range []time.Duration{0, limit} {
			tracker.RecordSubmission(start.Add(after), "good", service)
			must.MapLen(t, 1, tracker.ConfinedRoutes(start.Add(after), service, 11))
		}
		must.MapEmpty(t, tracker.ConfinedRoutes(start.Add(limit+time.Millisecond), service, 11))
		must.MapEmpty(t, tracker.ConfinedRoutes(start.Add(time.Minute), service, 11))
		must.MapEmpty(t, tracker.suspects)
	}
}

// TestLargeFleetConfinesLater checks that one poison task among many sidecars does not
// confine its route.
func TestLargeFleetConfinesLater(t *testing.T) {
	tracker := New()
	tracker.RecordSubmission(start, "good", service)
	for i := range 5 {
		must.MapEmpty(t, tracker.ConfinedRoutes(start, service, 55))
		provePoison(tracker, start, fmt.Sprint(i), "bad")
	}
	must.MapLen(t, 1, tracker.ConfinedRoutes(start, service, 55))
}

// TestEntriesChooseTheSameConfinedSidecars checks that the choice depends on the names and
// crashes only, that sidecars whose minions crashed come first, and that the rest of the
// service is left to the other routes.
func TestEntriesChooseTheSameConfinedSidecars(t *testing.T) {
	tracker := New()
	tracker.RecordCrash(start, "s7", service, crash(run("j", "r", time.Second)))
	for count, want := range map[int]int{1: 0, 2: 1, 11: 4, 72: 22} {
		var names []string
		for i := range count {
			names = append(names, fmt.Sprintf("s%d", i))
		}
		chosen := tracker.ConfinedSidecars(start, names)
		must.MapLen(t, want, chosen)
		if count > 7 {
			must.True(t, chosen["s7"])
		}
		rand.Shuffle(count, func(i, j int) { names[i], names[j] = names[j], names[i] })
		must.Eq(t, chosen, tracker.ConfinedSidecars(start, names))
	}
}

// TestEntriesShareWhatTheyFound covers entries that have sessions with different sidecars:
// one proves a task to be poison, and the other is told.
func TestEntriesShareWhatTheyFound(t *testing.T) {
	finder, other := New(), New()
	provePoison(finder, start, "j", "bad")
	tasks, newest := finder.ProofsAfter(start.Add(time.Second), 0)
	must.Len(t, 1, tasks)
	must.EqOp(t, time.Second, tasks[0].Age)
	again, _ := finder.ProofsAfter(start, newest)
	must.SliceEmpty(t, again)

	now := start.Add(time.Second)
	other.RecordSubmission(now, "good", service)
	must.True(t, other.RecordPoison(now, &tasks[0]))
	must.False(t, other.RecordPoison(now, &tasks[0]))
	must.True(t, other.Poison(key("j")))
	must.Eq(t, map[string]bool{"bad": true}, other.ConfinedRoutes(now, service, 11))
	must.MapEmpty(t, other.ConfinedRoutes(now.Add(firstConfineTime), service, 11))
	own, _ := other.ProofsAfter(now, 0)
	must.SliceEmpty(t, own)
	tasks[0].Age = retention + time.Second
	must.False(t, New().RecordPoison(now, &tasks[0]))
}
