package directory

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
)

func entry(name, boot string) session.Peer {
	return session.Peer{Name: name, Role: session.RoleEntry, Address: "127.0.0.1:1", Boot: boot}
}

// TestNewerIncarnationWins guards against an older incarnation of a peer that
// replaces or removes a newer one: other processes report peers in any order.
func TestNewerIncarnationWins(t *testing.T) {
	d := New()
	d.Merge(entry("a", "2"), entry("a", "1"), entry("b", "1"))
	known, ok := d.Get("a")
	must.True(t, ok)
	must.EqOp(t, "2", known.Boot)
	must.Len(t, 2, d.WithRole(session.RoleEntry))
	must.Len(t, 0, d.WithRole(session.RoleSidecar))
	d.Remove(entry("a", "1"))
	must.Len(t, 2, d.All())
}

// TestSeedsAreNotPeers checks that seeds are not listed as peers, that seeds from
// other processes are not merged, and that a removed seed is gone.
func TestSeedsAreNotPeers(t *testing.T) {
	d := New()
	d.AddSeed("seed-0", "127.0.0.1:1")
	d.Merge(entry("seed-1", ""))
	must.Len(t, 0, d.All())
	must.Len(t, 1, d.Seeds())
	d.Remove(d.Seeds()[0])
	must.Len(t, 0, d.Seeds())
}

// TestVersionIncreasesOnChange guards against sending peers again when nothing changed,
// and against missing a change: the version decides.
func TestVersionIncreasesOnChange(t *testing.T) {
	d := New()
	d.Merge(entry("a", "1"))
	_, version := d.ChangedSince(0, session.RoleEntry)
	d.Merge(entry("a", "1"))
	changed, same := d.ChangedSince(version, session.RoleEntry)
	must.EqOp(t, version, same)
	must.Len(t, 0, changed)
	d.Merge(entry("a", "2"))
	_, newer := d.ChangedSince(version, session.RoleEntry)
	must.Greater(t, version, newer)
	<-d.Changed()
}

// TestOnlyChangedPeersAreSent checks that ChangedSince returns a joining or restarted
// peer alone, so that what is sent about joins does not grow with the fleet.
func TestOnlyChangedPeersAreSent(t *testing.T) {
	d := New()
	for i := range 55 {
		d.Merge(entry(fmt.Sprintf("e%d", i), "1"))
	}
	all, version := d.ChangedSince(0, session.RoleEntry)
	must.Len(t, 55, all)
	d.Merge(entry("new", "1"), entry("e7", "2"))
	changed, version := d.ChangedSince(version, session.RoleEntry)
	must.Eq(t, []session.Peer{entry("e7", "2"), entry("new", "1")}, changed)
	d.Remove(entry("new", "1"))
	changed, _ = d.ChangedSince(version, session.RoleEntry)
	must.Len(t, 0, changed)
}
