package quarantine

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Change is the beginning or the end of a route's confinement.
type Change struct {
	Route    string
	Confined bool
	// BlamedJobs is the number of jobs of the route that were blamed for crashes lately.
	BlamedJobs int
}

// TakeChanges returns the changes since the last call.
func (t *Tracker) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// RecordSubmission records that a route of the service is in use.
func (t *Tracker) RecordSubmission(now time.Time, route, service string) {
	t.sweep(now)
	t.route(route, service).submittedAt = now
}

// ConfinedRoutes returns the confined routes of a service with the number of sidecars;
// nil if there are none. A route is confined only for the sake of other routes that are
// in use.
func (t *Tracker) ConfinedRoutes(now time.Time, service string, sidecars int) map[string]bool {
	var confined map[string]bool
	for name, route := range t.suspects {
		if route.service != service {
			continue
		}
		route.dropOldEvidence(now)
		t.updateConfined(now, name, route, sidecars)
		switch {
		case route.confined && confined == nil:
			confined = map[string]bool{name: true}
		case route.confined:
			confined[name] = true
		case len(route.blamed) == 0:
			delete(t.suspects, name)
		}
	}
	return confined
}

// WouldConfine returns what ConfinedRoutes would return if a job of the route were submitted
// now, and records nothing.
func (t *Tracker) WouldConfine(now time.Time, service, submitted string, sidecars int) map[string]bool {
	confined := make(map[string]bool)
	for name, route := range t.suspects {
		if route.service == service && t.shouldConfine(now, route, sidecars, submitted) {
			confined[name] = true
		}
	}
	return confined
}

func (t *Tracker) updateConfined(now time.Time, name string, route *routeRecord, sidecars int) {
	confined := t.shouldConfine(now, route, sidecars, "")
	if confined == route.confined {
		return
	}
	route.confined = confined
	t.changes = append(t.changes, Change{Route: name, Confined: confined, BlamedJobs: len(route.blamed)})
}

// shouldConfine reports whether the route should be confined, if a job of the submitted
// route comes now.
func (t *Tracker) shouldConfine(now time.Time, route *routeRecord, sidecars int, submitted string) bool {
	limit, blamed := confineTime, route.blamedLately(now)
	if blamed <= 1 {
		limit = firstConfineTime
	}
	if now.Sub(route.suspectedAt) > limit || !t.othersInUse(now, route, submitted) {
		return false
	}
	needed := max(1, int(blamedShare*float64(sidecars)))
	return route.confined || blamed >= needed
}

// othersInUse reports whether another route of the service is in use and not confined. The
// submitted route, of the same service, is in use.
func (t *Tracker) othersInUse(now time.Time, route *routeRecord, submitted string) bool {
	for name, other := range t.routes {
		inUse := name == submitted || now.Sub(other.submittedAt) <= activeTime
		if other != route && other.service == route.service && !other.confined && inUse {
			return true
		}
	}
	return submitted != "" && t.routes[submitted] == nil
}

// ConfinedSidecars returns which of a service's sidecars the confined routes get. Entries
// that know the same crashes and sidecars choose the same ones. Sidecars whose minions
// have crashed lately come first, since they may be away.
func (t *Tracker) ConfinedSidecars(now time.Time, names []string) map[string]bool {
	ranked := make([]rankedSidecar, len(names))
	for i, name := range names {
		ranked[i] = rankedSidecar{name: name, crashRank: t.crashRank(now, name), hash: nameHash(name)}
	}
	slices.SortFunc(ranked, compareRanks)
	count := 0
	if len(names) > 1 {
		count = int(math.Ceil(confinedShare * float64(len(names))))
	}
	chosen := make(map[string]bool, count)
	for _, sidecar := range ranked[:count] {
		chosen[sidecar.name] = true
	}
	return chosen
}

// rankedSidecar is a sidecar with what orders it among those for confined routes.
type rankedSidecar struct {
	name      string
	crashRank int
	hash      uint64
}

func compareRanks(a, b rankedSidecar) int {
	return cmp.Or(cmp.Compare(a.crashRank, b.crashRank), cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
}

// crashRank returns 0 for a sidecar whose minion has crashed lately, otherwise 1.
func (t *Tracker) crashRank(now time.Time, sidecar string) int {
	if t.CrashedLately(now, sidecar) {
		return 0
	}
	return 1
}

func nameHash(name string) uint64 {
	hash := fnv.New64a()
	// Write of a hash returns no error.
	_, _ = hash.Write([]byte(name))
	return hash.Sum64()
}
