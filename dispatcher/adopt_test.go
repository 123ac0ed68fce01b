package dispatcher

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/boottime"
	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/jobstore"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/directory"
	"github.com/figring/figring/session/link"
)

// busySidecar always has runs of the jobs that it is asked for.
type busySidecar struct{}

// Closed implements link.Receiver.
func (busySidecar) Closed() {}

// Adopt is called by net/rpc.
func (busySidecar) Adopt(_ *session.AdoptRequest, reply *session.AdoptReply) error {
	reply.Busy = true
	return nil
}

// idleSidecar has no runs of the jobs that it is asked for.
type idleSidecar struct{}

// Closed implements link.Receiver.
func (idleSidecar) Closed() {}

// Adopt is called by net/rpc.
func (idleSidecar) Adopt(*session.AdoptRequest, *session.AdoptReply) error { return nil }

// newTakeover returns a takeover that knows one sidecar.
func newTakeover(t *testing.T, sidecar link.Receiver) *takeover {
	t.Helper()
	const secret = "a-secret-of-the-tests"
	open, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	listener := link.New(open, secret, session.SidecarService, func(net.Conn) link.Receiver { return sidecar }, func(error) {})
	go func() { _ = listener.Serve() }()
	t.Cleanup(listener.Close)
	known := directory.New()
	known.Merge(session.Peer{Name: "s", Role: session.RoleSidecar, Address: listener.Address(), Boot: "1"})
	d := &Dispatcher{settings: Settings{Secret: secret}, deps: Dependencies{Directory: known, Log: eventlog.New(io.Discard, "e")}}
	return &takeover{storedJobs: &storedJobs{dispatcher: d}, orphanSince: make(map[jobstore.Owner]time.Time)}
}

// TestTakeoverReadsJobsAgain guards against an entry that waits without end for the runs of
// jobs which another entry has taken over meanwhile, and takes over nothing else.
func TestTakeoverReadsJobsAgain(t *testing.T) {
	collecting := newTakeover(t, busySidecar{})
	found, ok := collecting.collectRuns(t.Context(), jobstore.Owner{Name: "e", Boot: "1.0"}, []jobstore.OpenJob{{ID: "j"}}, false)
	must.False(t, ok)
	must.True(t, found.busy)
}

// TestOneWaitForLostSidecar guards against jobs that stand still after the loss of several
// owners, because an entry waits for a sidecar that is gone for good once for each of them.
func TestOneWaitForLostSidecar(t *testing.T) {
	collecting := newTakeover(t, idleSidecar{})
	collecting.dispatcher.deps.Directory.Merge(session.Peer{Name: "gone", Role: session.RoleSidecar, Address: "127.0.0.1:1", Boot: "1"})
	jobs := []jobstore.OpenJob{{ID: "j"}}
	first, second := jobstore.Owner{Name: "e", Boot: "1.0"}, jobstore.Owner{Name: "f", Boot: "1.0"}
	began := boottime.Now()
	collecting.recordOrphans(began, map[jobstore.Owner][]jobstore.OpenJob{first: jobs, second: jobs})
	for _, owner := range []jobstore.Owner{first, second} {
		_, ok := collecting.collectRuns(t.Context(), owner, jobs, false)
		must.True(t, ok)
		must.Between(t, adoptPatience, boottime.Now().Sub(began), adoptPatience+time.Second)
	}
	late := jobstore.Owner{Name: "g", Boot: "1.0"}
	began = boottime.Now()
	collecting.recordOrphans(began, map[jobstore.Owner][]jobstore.OpenJob{late: jobs})
	_, ok := collecting.collectRuns(t.Context(), late, jobs, false)
	must.True(t, ok)
	must.GreaterEq(t, adoptPatience, boottime.Now().Sub(began), must.Sprint("its runs may be active"))
}

// TestSidecarThatAnsweredIsWaitedForAgain checks since when sidecars count as unreachable.
func TestSidecarThatAnsweredIsWaitedForAgain(t *testing.T) {
	at := func(after time.Duration) time.Time { return time.Unix(1000, 0).Add(after) }
	calls := unansweredCalls(nil).record(at(0), at(0), []string{"a", "b"})
	calls = calls.record(at(maxCallGap), at(maxCallGap), []string{"a", "b"})
	must.Eq(t, at(0), calls.since())
	calls = calls.record(at(2*maxCallGap), at(2*maxCallGap), []string{"a"})
	must.Eq(t, at(0), calls.since())
	calls = calls.record(at(3*maxCallGap), at(3*maxCallGap), []string{"a", "b"})
	must.Eq(t, at(3*maxCallGap), calls.since())
	calls = calls.record(at(4*maxCallGap+1), at(4*maxCallGap+1), []string{"a"})
	must.Eq(t, at(4*maxCallGap+1), calls.since())
	must.True(t, calls.record(at(5*maxCallGap), at(5*maxCallGap), nil).since().IsZero())
}
