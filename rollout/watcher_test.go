package rollout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"

	"github.com/figring/figring/common/bubble"
	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
)

// watch runs a watcher until the returned function is called.
func watch(t *testing.T, w *Watcher) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func fresh(w *Watcher) bool {
	_, ok := w.View().Fresh(time.Now())
	return ok
}

func TestAbsentRowIsVersionZero(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := NewWatcher(newFakeTable(), WatcherOptions{})
		must.False(t, fresh(w))
		var seen []int64
		w.Subscribe(func(b model.Bundle) { seen = append(seen, b.Version) })
		version, err := w.ReadNow(t.Context())
		must.NoError(t, err)
		must.EqOp(t, 0, version)
		must.True(t, fresh(w))
		must.Eq(t, []int64{0}, seen)
	})
}

func TestSlowReadsKeepTheViewFresh(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		table := newFakeTable()
		table.latency = func(int) time.Duration { return 1800 * time.Millisecond }
		w := NewWatcher(table, WatcherOptions{})
		stop := watch(t, w)
		defer stop()
		time.Sleep(1900 * time.Millisecond)
		for range 200 {
			must.True(t, fresh(w))
			time.Sleep(50 * time.Millisecond)
		}
		must.Between(t, 2, table.peakInFlight(), maxReads)
	})
}

func TestReadsInFlightAreBounded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		table := newFakeTable()
		table.latency = func(int) time.Duration { return time.Hour }
		w := NewWatcher(table, WatcherOptions{})
		stop := watch(t, w)
		defer stop()
		for range 10 {
			go func() { _, _ = w.ReadNow(t.Context()) }()
		}
		time.Sleep(2 * time.Second)
		must.EqOp(t, maxReads, table.peakInFlight())
		must.False(t, fresh(w))
	})
}

func TestOutageEndsFreshnessWithinTheBound(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		table := newFakeTable()
		w := NewWatcher(table, WatcherOptions{})
		stop := watch(t, w)
		defer stop()
		time.Sleep(time.Second + time.Millisecond)
		must.True(t, fresh(w))
		table.setUnavailable(true)
		time.Sleep(model.BundleTTL)
		must.False(t, fresh(w))
		must.EqOp(t, 0, w.View().Bundle.Version)
		table.setUnavailable(false)
		time.Sleep(model.BundlePoll)
		must.True(t, fresh(w))
	})
}

func TestOldBundleArrivingLateIsDropped(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		table := newFakeTable()
		scope := tally.NewTestScope("", nil)
		w := NewWatcher(table, WatcherOptions{Scope: scope})
		var seen []int64
		w.Subscribe(func(b model.Bundle) { seen = append(seen, b.Version) })
		table.latency = func(n int) time.Duration {
			if n == 0 {
				return 2 * time.Second
			}
			return 0
		}
		go func() { _, _ = w.ReadNow(t.Context()) }()
		synctest.Wait()
		_, err := newTestEditor(table, nil).Edit(t.Context(), "anna", AnyVersion, bundle.CloseZone{Zone: "garching"})
		must.NoError(t, err)
		_, err = w.ReadNow(t.Context())
		must.NoError(t, err)
		until := w.View().FreshUntil
		time.Sleep(3 * time.Second)
		must.EqOp(t, 1, w.View().Bundle.Version)
		must.True(t, until.Equal(w.View().FreshUntil))
		must.Eq(t, []int64{1}, seen)
		must.EqOp(t, 1, scope.Snapshot().Counters()["bundle_older_dropped+"].Value())
	})
}

func TestThousandChangesAreSeenInOrder(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const changes = 1000
		table := newFakeTable()
		table.latency = func(n int) time.Duration { return time.Duration(n*37%1500) * time.Millisecond }
		w := NewWatcher(table, WatcherOptions{})
		seen := []int64{}
		w.Subscribe(func(b model.Bundle) { seen = append(seen, b.Version) })
		stop := watch(t, w)
		editor := newTestEditor(table, func(int64) { go func() { _, _ = w.ReadNow(t.Context()) }() })
		edits := []bundle.Edit{bundle.CloseZone{Zone: "garching"}, bundle.OpenZone{Zone: "garching"}}
		for i := range changes {
			accepted, err := editor.Edit(t.Context(), "anna", AnyVersion, edits[i%2])
			must.NoError(t, err)
			must.EqOp(t, int64(i+1), accepted.Version)
		}
		time.Sleep(3 * time.Second)
		stop()
		for i := 1; i < len(seen); i++ {
			must.Less(t, seen[i], seen[i-1])
		}
		must.EqOp(t, changes, seen[len(seen)-1])
		history, err := editor.History(t.Context(), 900, 0)
		must.NoError(t, err)
		must.SliceLen(t, 101, history)
	})
}

// TestQuickStoreShowsEveryVersion checks that a read after each change notifies the
// listener of every version.
func TestQuickStoreShowsEveryVersion(t *testing.T) {
	table := newFakeTable()
	w := NewWatcher(table, WatcherOptions{})
	next := int64(1)
	w.Subscribe(func(b model.Bundle) {
		must.EqOp(t, next, b.Version)
		next++
	})
	editor := newTestEditor(table, func(version int64) {
		acting, err := w.ReadNow(t.Context())
		must.NoError(t, err)
		must.EqOp(t, version, acting)
	})
	edits := []bundle.Edit{bundle.DrainTarget{Target: "s1"}, bundle.UndrainTarget{Target: "s1"}}
	for i := range 1000 {
		_, err := editor.Edit(t.Context(), "anna", AnyVersion, edits[i%2])
		must.NoError(t, err)
	}
	must.EqOp(t, 1001, next)
}

func TestLateSubscriberGetsTheBundleInForce(t *testing.T) {
	w := NewWatcher(newFakeTable(), WatcherOptions{})
	_, err := w.ReadNow(t.Context())
	must.NoError(t, err)
	called := 0
	w.Subscribe(func(model.Bundle) { called++ })
	must.EqOp(t, 1, called)
}

func TestCorruptRowGivesNoFreshness(t *testing.T) {
	table := newFakeTable()
	w := NewWatcher(table, WatcherOptions{})
	for _, raw := range []string{"", "{", `{"version":0}`, `{"version":-1}`, `{"version":1}{}`, `[]`} {
		table.rows[CurrentKey] = currentRow(raw)
		_, err := w.ReadNow(t.Context())
		must.ErrorIs(t, err, ErrCorrupt)
		must.False(t, fresh(w))
	}
}

func TestVersionIsInForceEverywhereAfterTheBound(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := NewWatcher(newFakeTable(), WatcherOptions{})
		must.False(t, w.InForceEverywhere(0))
		w.handleRead(model.Bundle{Version: 4}, time.Now())
		time.Sleep(time.Second)
		w.handleRead(model.Bundle{Version: 5}, time.Now())
		time.Sleep(inForceDelay - time.Second - 1)
		must.False(t, w.InForceEverywhere(4))
		time.Sleep(time.Nanosecond)
		must.True(t, w.InForceEverywhere(3))
		must.True(t, w.InForceEverywhere(4))
		must.False(t, w.InForceEverywhere(5))
		time.Sleep(time.Second)
		must.True(t, w.InForceEverywhere(5))
		must.False(t, w.InForceEverywhere(6))
	})
}

func TestDeletedRowEndsFreshnessAndNeverReverts(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		table := newFakeTable()
		_, err := newTestEditor(table, nil).Edit(t.Context(), "anna", AnyVersion, bundle.CloseZone{Zone: "garching"})
		must.NoError(t, err)
		w := NewWatcher(table, WatcherOptions{})
		stop := watch(t, w)
		defer stop()
		time.Sleep(time.Millisecond)
		must.EqOp(t, 1, w.View().Bundle.Version)
		table.remove(CurrentKey)
		time.Sleep(model.BundleTTL)
		must.EqOp(t, 1, w.View().Bundle.Version)
		must.False(t, fresh(w))
	})
}

func TestFreshnessCountsFromBeforeTheRead(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		table := newFakeTable()
		table.latency = func(int) time.Duration { return 2 * time.Second }
		w := NewWatcher(table, WatcherOptions{})
		sent := time.Now()
		_, err := w.ReadNow(t.Context())
		must.NoError(t, err)
		must.True(t, sent.Add(model.BundleTTL).Equal(w.View().FreshUntil))
	})
}
