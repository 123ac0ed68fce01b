package instance

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/manifest"
)

// manyPrefixes returns the prefixes of as many routes as a large manifest has.
func manyPrefixes() []string {
	const count = 1400
	prefixes := make([]string, count)
	for i := range prefixes {
		prefixes[i] = fmt.Sprintf("/queue-%04d/", i)
	}
	return prefixes
}

// counter returns the sum of a counter over its tags at one process. It fails the test if
// the process does not serve the counter.
func (s *system) counter(p *process, name string) int {
	s.t.Helper()
	sum, found := 0, false
	lines := bufio.NewScanner(strings.NewReader(scrape(p.status)))
	for lines.Scan() {
		series, value, _ := strings.Cut(lines.Text(), " ")
		if strings.HasPrefix(series, "#") || !strings.Contains(series, name) {
			continue
		}
		count, err := strconv.Atoi(value)
		must.NoError(s.t, err)
		sum += count
		found = true
	}
	must.True(s.t, found, must.Sprintf("%s does not serve %s", p.name, name))
	return sum
}

// manifestsSent returns how many manifests all processes have sent to peers.
func (s *system) manifestsSent() int {
	sent := 0
	for _, p := range append(s.sidecars, s.entries...) {
		sent += s.counter(p, metrics.ManifestsSent)
	}
	return sent
}

// routes reports whether the entry has a route for the path.
func (s *system) routes(entry *process, path string) bool {
	return s.call(entry, http.MethodGet, path, nil).status == http.StatusOK
}

func (s *system) awaitRoute(entry *process, path string) {
	s.t.Helper()
	must.Wait(s.t, wait.InitialSuccess(wait.BoolFunc(func() bool { return s.routes(entry, path) }),
		wait.Timeout(10*time.Second), wait.Gap(20*time.Millisecond)))
}

// settle is longer than the time in which processes exchange what differs: the delay
// of an update, and two polls.
const settle = 1500 * time.Millisecond

func TestJoiningSidecarResendsManifestToAll(t *testing.T) {
	s := newSystem(t, 4, 3)
	prefixes := manyPrefixes()
	s.putManifest(2, prefixes...)
	for _, entry := range s.entries {
		s.awaitRoute(entry, prefixes[0])
	}
	time.Sleep(settle)
	before := s.manifestsSent()
	must.NoError(t, s.table.Put("status", "another-table", "changed"))
	for i := 4; i < 6; i++ {
		s.startMinion(i)
		s.sidecars = append(s.sidecars, s.startSidecar(i))
	}
	for _, entry := range s.entries {
		s.awaitReady(entry, 6)
	}
	time.Sleep(settle)
	must.EqOp(t, before, s.manifestsSent())
}

// gatedTable serves the system's table until it is closed, and then refuses every call.
func (s *system) gatedTable() (address string, closed *atomic.Bool) {
	closed = &atomic.Bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if closed.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.table.Handler().ServeHTTP(w, r)
	}))
	s.t.Cleanup(server.Close)
	return server.Listener.Addr().String(), closed
}

func TestEntryBehindReceivesManifestFromEveryPeer(t *testing.T) {
	const sidecars = 8
	s := newSystem(t, sidecars, 1)
	table, closed := s.gatedTable()
	behind := s.startEntryWithTable(1, table)
	s.awaitReady(behind, sidecars)
	closed.Store(true)
	time.Sleep(settle)
	prefixes := manyPrefixes()
	s.putManifest(2, prefixes...)
	s.awaitRoute(behind, prefixes[0])
	time.Sleep(settle)
	must.EqOp(t, 1, s.counter(behind, metrics.ManifestsReceived))
}

// TestEvacuationReachesProcessesWithoutTable evacuates a zone while the table refuses one
// entry and one sidecar. Both learn of it from their peers.
func TestEvacuationReachesProcessesWithoutTable(t *testing.T) {
	const sidecars = 3
	s := newSystem(t, sidecars, 1)
	table, closed := s.gatedTable()
	s.startMinion(sidecars)
	refused := []*process{s.startSidecarWithTable(sidecars, table), s.startEntryWithTable(1, table)}
	for _, entry := range append(s.entries, refused[1]) {
		s.awaitReady(entry, sidecars+1)
	}
	closed.Store(true)
	time.Sleep(settle)
	must.NoError(t, s.table.Put("op", "evacuate/a", map[string]any{}))
	for _, p := range refused {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return s.evacuationSource(p) != "" }),
			wait.Timeout(5*time.Second), wait.Gap(20*time.Millisecond)))
		must.NotEq(t, manifest.SourceTable, s.evacuationSource(p))
	}
}

// evacuationSource returns from where the process learned of an evacuated zone, according
// to its log; empty if it has not.
func (s *system) evacuationSource(p *process) string {
	for line := range strings.Lines(s.logs.String()) {
		var told struct {
			Process, Event, Source string
			Evacuated              []string
		}
		// A line that is not yet written in full is parsed by the next call.
		_ = json.Unmarshal([]byte(line), &told)
		if told.Process == p.name && told.Event == string(eventlog.KindManifest) && len(told.Evacuated) > 0 {
			return told.Source
		}
	}
	return ""
}
