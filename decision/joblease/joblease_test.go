package joblease

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func ownerRow(boot string, count uint64) OwnerRow { return OwnerRow{Name: "a", Boot: boot, Count: count} }

// observe reads the row each second for as long as given.
func observe(w *Watch, from time.Time, row OwnerRow, length time.Duration) time.Time {
	for at := from; ; at = at.Add(time.Second) {
		w.Observe(at, []OwnerRow{row})
		if !at.Before(from.Add(length)) {
			return at
		}
	}
}

// TestLapsedRow covers an entry that stops renewing.
func TestLapsedRow(t *testing.T) {
	w := NewWatch()
	must.False(t, w.Any())
	at := observe(w, start, ownerRow("1", 1), TakeoverAfter)
	must.Len(t, 0, w.Lapsed())
	must.Eq(t, []string{"a"}, w.Living())
	at = at.Add(time.Second)
	w.Observe(at, []OwnerRow{ownerRow("1", 1)})
	must.Eq(t, []OwnerRow{ownerRow("1", 1)}, w.Lapsed())
	must.Len(t, 0, w.Living())
	// Until it is revoked, the life may still own jobs.
	must.True(t, w.Alive("a", "1"))
	w.Observe(at, []OwnerRow{ownerRow("1", 2)})
	must.Len(t, 0, w.Lapsed())
}

// TestOutageIsNoLapse covers a table that is away: the time in which nothing
// could be read or renewed does not count.
func TestOutageIsNoLapse(t *testing.T) {
	w := NewWatch()
	at := observe(w, start, ownerRow("1", 1), 2*time.Second)
	at = at.Add(time.Minute)
	w.Observe(at, []OwnerRow{ownerRow("1", 1)})
	must.Len(t, 0, w.Lapsed())
}

// TestOtherLives covers lives that are known to have ended at once.
func TestOtherLives(t *testing.T) {
	w := NewWatch()
	w.Observe(start, []OwnerRow{ownerRow("2", 1)})
	must.False(t, w.Alive("a", "1"))
	must.True(t, w.Alive("a", "2"))
	must.False(t, w.Alive("b", "1"))
	left := ownerRow("2", 2)
	left.Left = true
	w.Observe(start, []OwnerRow{left})
	must.False(t, w.Alive("a", "2"))
	must.Len(t, 0, w.Living())
	must.True(t, w.Any())
}

// TestOwnerAndTakerNeverOverlap draws renewals, reads and revocations that succeed
// or fail at any time: at no moment does the owner hold its jobs while another
// entry may take them.
func TestOwnerAndTakerNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lease, watch := &Lease{}, NewWatch()
		now, row := start, ownerRow("1", 1)
		lease.Renewed(now)
		revoked := false
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				if revoked {
					continue
				}
				row.Count++
				row.Version++
				// The answer may be lost.
				if rapid.Bool().Draw(t, "answered") {
					lease.Renewed(now)
				}
			case 2:
				watch.Observe(now, []OwnerRow{row})
			case 3:
				for _, lapsed := range watch.Lapsed() {
					revoked = revoked || lapsed.Version == row.Version
				}
			}
			if revoked && lease.Valid(now) {
				t.Fatalf("owned and revoked at %s", now)
			}
		}
	})
}
