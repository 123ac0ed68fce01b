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

func TestMonitor(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	row := Session{Incarnation: "a", Version: 7}
	observe := func(m *Monitor, from, to time.Duration, row Session) {
		for at := from; at <= to; at += time.Second {
			m.Observe([]Session{row}, start.Add(at), start.Add(at+100*time.Millisecond))
		}
	}
	first := start.Add(100 * time.Millisecond)

	t.Run("counts from when the first read of a version was received", func(t *testing.T) {
		m := NewMonitor()
		observe(m, 0, 5*time.Second, row)
		must.False(t, m.Expired(row, first.Add(TakeoverAfter-1)))
		must.True(t, m.Expired(row, first.Add(TakeoverAfter)))
	})
	t.Run("a new version starts again", func(t *testing.T) {
		m := NewMonitor()
		observe(m, 0, 3*time.Second, row)
		renewed := Session{Incarnation: "a", Version: 8}
		observe(m, 4*time.Second, 5*time.Second, renewed)
		must.False(t, m.Expired(renewed, first.Add(TakeoverAfter)))
		must.True(t, m.Expired(renewed, first.Add(4*time.Second+TakeoverAfter)))
		must.False(t, m.Expired(row, first.Add(time.Hour)))
	})
	t.Run("an observer that could not read starts again", func(t *testing.T) {
		m := NewMonitor()
		observe(m, 0, 0, row)
		observe(m, 10*time.Second, 10*time.Second, row)
		must.False(t, m.Expired(row, start.Add(11*time.Second)))
		must.True(t, m.Expired(row, first.Add(10*time.Second+TakeoverAfter)))
	})
	t.Run("reset discards the observations", func(t *testing.T) {
		m := NewMonitor()
		observe(m, 0, 5*time.Second, row)
		m.Reset()
		must.False(t, m.Expired(row, start.Add(time.Hour)))
	})
}
