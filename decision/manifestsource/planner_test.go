package manifestsource

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func newPlanner(version int64) *Planner {
	planner := New(rand.New(rand.NewPCG(1, 2)))
	planner.Adopted(start, version)
	return planner
}

func TestNothingToFetch(t *testing.T) {
	planner := newPlanner(7)
	planner.Reported(start, "s1", 7)
	planner.Reported(start, "s2", 6)
	requireNoFetch(t, planner, start)
}

// requireNoFetch checks that there is nothing to fetch until a sidecar reports a newer
// version.
func requireNoFetch(t *testing.T, planner *Planner, now time.Time) {
	t.Helper()
	fetch, wait := planner.Next(now)
	must.Eq(t, Fetch{}, fetch)
	must.EqOp(t, 0, wait)
}

func TestTableHasTimeToDeliver(t *testing.T) {
	planner := newPlanner(7)
	planner.Reported(start, "s1", 8)
	_, wait := planner.Next(start)
	must.EqOp(t, readDelay, wait)
	planner.Reported(start.Add(readDelay/2), "s2", 8)
	_, wait = planner.Next(start.Add(readDelay / 2))
	must.EqOp(t, readDelay/2, wait)
	planner.Adopted(start.Add(readDelay-1), 8)
	requireNoFetch(t, planner, start.Add(readDelay))
}

func TestEntryWithoutManifestFetchesAtOnce(t *testing.T) {
	planner := newPlanner(0)
	planner.Reported(start, "s1", 8)
	fetch, _ := planner.Next(start)
	must.Eq(t, Fetch{Sidecar: "s1", Timeout: minTimeout}, fetch)
}

func TestNewestVersionIsFetched(t *testing.T) {
	planner := newPlanner(0)
	planner.Reported(start, "old", 8)
	planner.Reported(start, "new", 9)
	fetch, _ := planner.Next(start)
	must.EqOp(t, "new", fetch.Sidecar)
}

func TestEverySidecarIsTriedBeforeOneIsTriedAgain(t *testing.T) {
	planner := newPlanner(0)
	for i := range 3 {
		planner.Reported(start, fmt.Sprintf("s%d", i), 8)
	}
	tried := make(map[string]bool)
	for range 3 {
		fetch, wait := planner.Next(start)
		must.EqOp(t, 0, wait)
		tried[fetch.Sidecar] = true
		planner.Failed(start, fetch.Sidecar, false)
	}
	must.MapLen(t, 3, tried)
	_, wait := planner.Next(start)
	must.EqOp(t, retryDelay, wait)
	fetch, _ := planner.Next(start.Add(retryDelay))
	must.MapContainsKey(t, tried, fetch.Sidecar)
}

func TestTimeoutGrowsOnlyWithTimeouts(t *testing.T) {
	planner := newPlanner(0)
	planner.Reported(start, "s1", 8)
	now := start
	for _, tc := range []struct {
		timedOut bool
		want     time.Duration
	}{{false, minTimeout}, {true, 2 * minTimeout}, {true, 4 * minTimeout}, {true, maxTimeout}, {true, maxTimeout}} {
		planner.Failed(now, "s1", tc.timedOut)
		now = now.Add(retryDelay)
		fetch, _ := planner.Next(now)
		must.EqOp(t, tc.want, fetch.Timeout)
	}
	planner.Adopted(now, 8)
	planner.Reported(now, "s1", 9)
	fetch, _ := planner.Next(now.Add(readDelay))
	must.EqOp(t, minTimeout, fetch.Timeout)
}

// TestPlannerAlwaysEndsWithNewestVersion checks, over drawn reports, failures and lost
// sessions, that an entry gets the newest version that its sidecars have.
func TestPlannerAlwaysEndsWithNewestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		planner := New(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		sidecars := map[string]int64{}
		now, version := start, int64(0)
		fetchOnce := func(fails bool) bool {
			fetch, wait := planner.Next(now)
			now = now.Add(wait)
			if fetch.Sidecar == "" {
				return wait > 0
			}
			has, open := sidecars[fetch.Sidecar]
			if fails || !open || has <= version {
				planner.Failed(now, fetch.Sidecar, rapid.Bool().Draw(t, "timed out"))
				return true
			}
			version = has
			planner.Adopted(now, version)
			return true
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			name := fmt.Sprintf("s%d", rapid.IntRange(0, 3).Draw(t, "sidecar"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				sidecars[name] += int64(rapid.IntRange(0, 2).Draw(t, "newer"))
				planner.Reported(now, name, sidecars[name])
			case 2:
				delete(sidecars, name)
				planner.Forget(name)
			case 3:
				fetchOnce(rapid.Bool().Draw(t, "fails"))
			}
		}
		newest := version
		for _, has := range sidecars {
			newest = max(newest, has)
		}
		const enough = 50
		for range enough {
			fetchOnce(false)
		}
		must.EqOp(t, newest, version)
	})
}
