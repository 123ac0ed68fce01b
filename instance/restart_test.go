package instance

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/figring/figring/session"
)

// membersTable is the table in which processes announce themselves.
const membersTable = "members"

// TestFleetRestartsWithoutWritingToTheTable restarts all processes while the table
// refuses writes, as one does to which a whole fleet writes at once, and with no seed that
// answers. The rows of the
// earlier incarnations are enough for the processes to find each other, and each updates
// its row later.
func TestFleetRestartsWithoutWritingToTheTable(t *testing.T) {
	const sidecars, entries = 3, 2
	s := newSystem(t, sidecars, entries)
	announced := func(count int) func() bool {
		return func() bool { return s.table.Transactions(membersTable) >= count }
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(announced(sidecars+entries)), wait.Timeout(5*time.Second), wait.Gap(20*time.Millisecond)))
	s.table.SetRefuseWrites(true)
	for _, running := range append(s.entries, s.sidecars...) {
		running.stop(t)
	}
	s.entries, s.sidecars, s.seeds = nil, nil, nil
	for i := range sidecars {
		s.sidecars = append(s.sidecars, s.startSidecar(i))
	}
	for i := range entries {
		s.entries = append(s.entries, s.startEntry(i))
	}
	for _, entry := range s.entries {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return s.ready(entry) }), wait.Timeout(5*time.Second), wait.Gap(20*time.Millisecond)))
		must.EqOp(t, http.StatusOK, s.submit(entry, "00000000000000a"+entry.name[len(entry.name)-1:], job(2, 300, 20*time.Millisecond)).status)
	}
	s.table.SetRefuseWrites(false)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(announced(2*(sidecars+entries))), wait.Timeout(15*time.Second), wait.Gap(50*time.Millisecond)))
}

// TestNewEntryFindsSidecarsThatRegisterLater covers an entry that reads the table before
// a sidecar has registered there. The sidecar has sessions enough and does not ask for
// one: the entry finds it by reading the table again, and connects to it.
func TestNewEntryFindsSidecarsThatRegisterLater(t *testing.T) {
	s := newSystem(t, 0, 0)
	s.startEntry(0)
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool { return s.table.Transactions(membersTable) == 1 }),
		wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond),
	))
	const readAfterAnnouncing = 300 * time.Millisecond
	time.Sleep(readAfterAnnouncing)
	listener, err := net.Listen("tcp", s.address(sidecarHost, s.port))
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	must.NoError(t, s.table.Put(membersTable, "side-0", map[string]any{
		"name": "side-0", "role": session.RoleSidecar, "zone": "a", "address": listener.Addr().String(), "boot": "1",
	}))
	must.NoError(t, listener.(*net.TCPListener).SetDeadline(time.Now().Add(10*time.Second)))
	connection, err := listener.Accept()
	must.NoError(t, err)
	_ = connection.Close()
}
