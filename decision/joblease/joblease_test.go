package joblease

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func ownerRow(boot string, count uint64) OwnerRow {
	return OwnerRow{Name: "a", Boot: boot, Count: count}
}

// observe reads the row each second for as long as given.
func observe(w *Monitor, from time.Time, row OwnerRow, length time.Duration) time.Time {
	for at := from; ; at = at.Add(time.Second) {
		w.Observe(at, []OwnerRow{row})
		if !at.Before(from.Add(length)) {
			return at
		}
	}
}

// TestLapsedRow covers an entry that stops renewing.
func TestLapsedRow(t *testing.T) {
	w := NewMonitor()
	must.False(t, w.HasRows())
	at := observe(w, start, ownerRow("1", 1), TakeoverAfter)
	must.Len(t, 0, w.Expired())
	must.Eq(t, []string{"a"}, w.LiveEntries())
	at = at.Add(time.Second)
	w.Observe(at, []OwnerRow{ownerRow("1", 1)})
	must.Eq(t, []OwnerRow{ownerRow("1", 1)}, w.Expired())
	must.Len(t, 0, w.LiveEntries())
	// Until it is revoked, the life may still own jobs.
	must.True(t, w.MayOwnJobs("a", "1"))
	w.Observe(at, []OwnerRow{ownerRow("1", 2)})
	must.Len(t, 0, w.Expired())
}

// TestOutageIsNoLapse covers a table that is away: the time in which nothing
// could be read or renewed does not count.
func TestOutageIsNoLapse(t *testing.T) {
	w := NewMonitor()
	at := observe(w, start, ownerRow("1", 1), 2*time.Second)
	at = at.Add(time.Minute)
	w.Observe(at, []OwnerRow{ownerRow("1", 1)})
	must.Len(t, 0, w.Expired())
}

// TestOtherLives covers lives that are known to have ended at once.
func TestOtherLives(t *testing.T) {
	w := NewMonitor()
	w.Observe(start, []OwnerRow{ownerRow("2", 1)})
	must.False(t, w.MayOwnJobs("a", "1"))
	must.True(t, w.MayOwnJobs("a", "2"))
	must.False(t, w.MayOwnJobs("b", "1"))
	left := ownerRow("2", 2)
	left.Released = true
	w.Observe(start, []OwnerRow{left})
	must.False(t, w.MayOwnJobs("a", "2"))
	must.Len(t, 0, w.LiveEntries())
	must.True(t, w.HasRows())
}

// TestOwnerAndTakerNeverOverlap draws renewals, reads and revocations that succeed
// or fail at any time: at no moment does the owner hold its jobs while another
// entry may take them.
func TestOwnerAndTakerNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lease, watch := &Lease{}, NewMonitor()
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
				for _, lapsed := range watch.Expired() {
					revoked = revoked || lapsed.Version == row.Version
				}
			}
			if revoked && lease.Valid(now) {
				t.Fatalf("owned and revoked at %s", now)
			}
		}
	})
}
