package dispatcher

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/boottime"
	"github.com/figring/figring/decision/joblease"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/link"
)

// otherEntry answers whether it regards jobs as without an owner.
type otherEntry struct{ revoked bool }

// Closed implements link.Receiver.
func (*otherEntry) Closed() {}

// Ownership is called by net/rpc.
func (e *otherEntry) Ownership(_ *session.OwnershipRequest, reply *session.OwnershipReply) error {
	reply.Revoked = e.revoked
	return nil
}

// addEntry adds an entry that answers to the directory.
func (f *takeoverFixture) addEntry(name string, entry *otherEntry) {
	f.t.Helper()
	open, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(f.t, err)
	listener := link.New(open, "", session.EntryService, func(net.Conn) link.Receiver { return entry }, func(error) {})
	go func() { _ = listener.Serve() }()
	f.t.Cleanup(listener.Close)
	f.takeover.dispatcher.deps.Directory.Merge(session.Peer{Name: name, Role: session.RoleEntry, Address: listener.Address(), Boot: "1"})
}

// runsUntil asks the other entries and returns until when runs go on.
func (f *takeoverFixture) runsUntil() time.Time {
	f.takeover.askOthers(f.t.Context())
	until := time.Time{}
	f.takeover.dispatcher.loop.Do(func(now time.Time) { until = f.takeover.runGuard.Until(now, f.takeover.possibleAdopters()) })
	return until
}

// TestRunsGoOnOnlyWhileEachEntryConfirms guards against two runs of a task at the same time:
// the owner of its job is cut off from the store and from an entry that may take it over, or
// that says so; and against an outage of the store that ends runs which nobody may take over.
func TestRunsGoOnOnlyWhileEachEntryConfirms(t *testing.T) {
	f := newTakeoverFixture(t)
	began := boottime.Now()
	renewedAt := began.Add(-time.Minute)
	unconfirmed := renewedAt.Add(joblease.RunsAfterRenewal)
	f.takeover.runGuard.Renewed(renewedAt)

	word := &otherEntry{}
	f.addEntry("b", word)
	must.True(t, f.runsUntil().After(began), must.Sprint("the only other entry confirms"))

	f.takeover.dispatcher.deps.Directory.Merge(session.Peer{Name: "c", Role: session.RoleEntry, Address: "127.0.0.1:1", Boot: "1"})
	must.EqOp(t, unconfirmed, f.runsUntil(), must.Sprint("one entry can't be reached"))
	f.takeover.ownersSeen.Store(&ownersView{gone: map[string]string{"c": "0.7"}})
	must.EqOp(t, unconfirmed, f.runsUntil(), must.Sprint("an earlier incarnation of it is gone"))
	f.takeover.ownersSeen.Store(&ownersView{gone: map[string]string{"c": "1.0"}})
	must.True(t, f.runsUntil().After(began), must.Sprint("it is gone for good"))

	f.takeover.runGuard = joblease.RunGuard{}
	f.takeover.runGuard.Renewed(renewedAt)
	word.revoked = true
	must.EqOp(t, unconfirmed, f.runsUntil(), must.Sprint("the other entry may take the jobs over"))
}

// TestRevokedOwnerIsKnownFromTheRows covers what an entry answers: nothing is revoked before it
// has read the rows, since it waits for sidecars only after that.
func TestRevokedOwnerIsKnownFromTheRows(t *testing.T) {
	f := newTakeoverFixture(t)
	must.False(t, f.takeover.hasRevoked("e", "1.0"))
	f.takeover.runRound(t.Context())
	must.False(t, f.takeover.hasRevoked("e", "1.0"))
	must.True(t, f.takeover.hasRevoked("e", "1.1"))
	must.True(t, f.takeover.hasRevoked("other", "1.0"))
	_, err := f.takeover.owners.Put(t.Context(), joblease.OwnerRow{Name: "other", Boot: "1.0", Released: true})
	must.NoError(t, err)
	f.takeover.runRound(t.Context())
	must.True(t, f.takeover.hasRevoked("other", "1.0"))
}
