package ownership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
)

func TestLease(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	var lease Lease
	must.False(t, lease.Valid(start))

	lease.Renewed(start)
	must.True(t, lease.Valid(start.Add(model.SessionTTL-1)))
	must.False(t, lease.Valid(start.Add(model.SessionTTL)))

	lease.Renewed(start.Add(time.Second))
	lease.Renewed(start) // confirmed out of order
	must.Eq(t, start.Add(time.Second+model.SessionTTL), lease.Expiry())

	lease.Invalidate()
	must.False(t, lease.Valid(start))
}

func TestWatch(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	row := Session{Incarnation: "a", Version: 7}
	observe := func(w *Monitor, from, to time.Duration, row Session) {
		for at := from; at <= to; at += time.Second {
			w.Observe([]Session{row}, start.Add(at), start.Add(at+100*time.Millisecond))
		}
	}
	first := start.Add(100 * time.Millisecond)

	t.Run("counts from the receipt of the first read of a version", func(t *testing.T) {
		w := NewMonitor()
		observe(w, 0, 5*time.Second, row)
		must.False(t, w.Expired(row, first.Add(TakeoverAfter-1)))
		must.True(t, w.Expired(row, first.Add(TakeoverAfter)))
	})
	t.Run("a new version starts anew", func(t *testing.T) {
		w := NewMonitor()
		observe(w, 0, 3*time.Second, row)
		renewed := Session{Incarnation: "a", Version: 8}
		observe(w, 4*time.Second, 5*time.Second, renewed)
		must.False(t, w.Expired(renewed, first.Add(TakeoverAfter)))
		must.True(t, w.Expired(renewed, first.Add(4*time.Second+TakeoverAfter)))
		must.False(t, w.Expired(row, first.Add(time.Hour)))
	})
	t.Run("an observer that could not read starts anew", func(t *testing.T) {
		w := NewMonitor()
		observe(w, 0, 0, row)
		observe(w, 10*time.Second, 10*time.Second, row)
		must.False(t, w.Expired(row, start.Add(11*time.Second)))
		must.True(t, w.Expired(row, first.Add(10*time.Second+TakeoverAfter)))
	})
	t.Run("reset forgets", func(t *testing.T) {
		w := NewMonitor()
		observe(w, 0, 5*time.Second, row)
		w.Reset()
		must.False(t, w.Expired(row, start.Add(time.Hour)))
	})
}
