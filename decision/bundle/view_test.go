package bundle

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/figring/figring/model"
)

func TestViewIsFreshForBundleTTL(t *testing.T) {
	sent := time.Unix(100, 0)
	view, dropped := View{}.Observe(model.Bundle{Version: 1}, sent)
	must.False(t, dropped)
	_, ok := view.Fresh(sent.Add(model.BundleTTL - 1))
	must.True(t, ok)
	_, ok = view.Fresh(sent.Add(model.BundleTTL))
	must.False(t, ok)
	_, ok = View{}.Fresh(sent)
	must.False(t, ok)
}

// TestSupersededVersionIsNotFreshBeyondTTL accepts versions at random times and
// delivers reads of them in random order. A read returns a version that was in
// force at some time after it was sent. A view must not be fresh for longer than
// model.BundleTTL after the next version was accepted.
func TestSupersededVersionIsNotFreshBeyondTTL(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		accepted := []time.Time{start}
		for range rapid.IntRange(1, 8).Draw(t, "versions") {
			gap := time.Duration(rapid.IntRange(1, 3000).Draw(t, "gap")) * time.Millisecond
			accepted = append(accepted, accepted[len(accepted)-1].Add(gap))
		}
		view := View{}
		for range rapid.IntRange(1, 20).Draw(t, "reads") {
			offset := rapid.IntRange(0, 12000).Draw(t, "sent")
			sent := start.Add(time.Duration(offset) * time.Millisecond)
			lag := time.Duration(rapid.IntRange(0, 2000).Draw(t, "lag")) * time.Millisecond
			version := versionAt(accepted, sent.Add(lag))
			before := view
			view, _ = view.Observe(model.Bundle{Version: int64(version)}, sent)
			must.GreaterEq(t, before.Bundle.Version, view.Bundle.Version)
			must.False(t, view.FreshUntil.Before(before.FreshUntil))
			if newer := int(view.Bundle.Version) + 1; newer < len(accepted) {
				limit := accepted[newer].Add(model.BundleTTL)
				must.False(t, view.FreshUntil.After(limit))
			}
		}
	})
}

// versionAt returns the version in force at a time, given when each was accepted.
func versionAt(accepted []time.Time, at time.Time) int {
	version := 0
	for i, acceptedAt := range accepted {
		if !acceptedAt.After(at) {
			version = i
		}
	}
	return version
}

func TestNewerKeepsHigherVersion(t *testing.T) {
	current := model.Bundle{Version: 3, ClosedZones: []string{"garching"}}
	for _, version := range []int64{0, 2, 3} {
		kept, changed := Newer(current, model.Bundle{Version: version})
		must.False(t, changed)
		must.Eq(t, current, kept)
	}
	next, changed := Newer(current, model.Bundle{Version: 9})
	must.True(t, changed)
	must.EqOp(t, 9, next.Version)
}
