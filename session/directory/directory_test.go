package directory

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
)

func entry(name, boot string) session.Peer {
	return session.Peer{Name: name, Role: session.RoleEntry, Address: "127.0.0.1:1", Boot: boot}
}

// TestNewerLifeWins covers what others tell of a peer in any order.
func TestNewerLifeWins(t *testing.T) {
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

// TestSeedsStayApart covers addresses whose entry is not known: they are no
// peers, are not taken from others, and go when they are removed.
func TestSeedsStayApart(t *testing.T) {
	d := New()
	d.AddSeed("seed-0", "127.0.0.1:1")
	d.Merge(entry("seed-1", ""))
	must.Len(t, 0, d.All())
	must.Len(t, 1, d.Seeds())
	d.Remove(d.Seeds()[0])
	must.Len(t, 0, d.Seeds())
}

// TestVersionRisesWithChanges covers what peers are told anew.
func TestVersionRisesWithChanges(t *testing.T) {
	d := New()
	d.Merge(entry("a", "1"))
	version := d.Version()
	d.Merge(entry("a", "1"))
	must.EqOp(t, version, d.Version())
	d.Merge(entry("a", "2"))
	must.Greater(t, version, d.Version())
	<-d.Changed()
}
