package sidecar

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/store/memory"
	"github.com/figring/figring/wire"
)

const (
	secret    = "s"
	entryName = model.Incarnation("e.1")
	// waitTimeout bounds the wait for each expected event.
	waitTimeout = 10 * time.Second
)

// fakeEntry answers renewals with permits whose duration, ttl, tests can change.
type fakeEntry struct {
	ttl      atomic.Int64
	renewals atomic.Int64
	mu       sync.Mutex
	states   []wire.TargetState
}

func (e *fakeEntry) Renew(request *wire.RenewRequest, reply *wire.RenewReply) error {
	e.renewals.Add(1)
	e.mu.Lock()
	e.states = append(e.states, request.Target.State)
	e.mu.Unlock()
	reply.Entry = entryName
	reply.Permit = wire.Permit{Echo: request.MessageNumber, TTL: time.Duration(e.ttl.Load()), BundleVersion: 1}
	return nil
}

func (e *fakeEntry) receivedState(state wire.TargetState) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, received := range e.states {
		if received == state {
			return true
		}
	}
	return false
}

// fakeAnnouncements announces a minion every announceInterval until silent is set.
type fakeAnnouncements struct {
	mu           sync.Mutex
	announcement store.Announcement
	silent       atomic.Bool
	started      atomic.Bool
}

const announceInterval = 100 * time.Millisecond

func (a *fakeAnnouncements) Next(ctx context.Context) (store.Announcement, error) {
	if a.started.Swap(true) {
		if err := pause.For(ctx, announceInterval); err != nil {
			return store.Announcement{}, err
		}
	}
	if a.silent.Load() {
		<-ctx.Done()
		return store.Announcement{}, ctx.Err()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.announcement, nil
}

func (a *fakeAnnouncements) setState(state store.AnnouncementState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.announcement.State = state
}

// fakeMinion runs each task until the test sends to release, and reports started
// and stopped tasks to the test. handler, if set, answers run requests instead.
type fakeMinion struct {
	server     *httptest.Server
	release    chan struct{}
	releaseAll sync.Once
	started    chan string
	stopped    chan string
	handler    atomic.Pointer[http.HandlerFunc]
}

func newFakeMinion(t *testing.T) *fakeMinion {
	m := &fakeMinion{release: make(chan struct{}, 64), started: make(chan string, 64), stopped: make(chan string, 64)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", m.run)
	mux.HandleFunc("POST /stop", func(w http.ResponseWriter, r *http.Request) {
		var body stopRequest
		_ = json.NewDecoder(r.Body).Decode(&body)
		m.stopped <- body.Job
	})
	m.server = httptest.NewServer(mux)
	t.Cleanup(m.server.Close)
	return m
}

func (m *fakeMinion) run(w http.ResponseWriter, r *http.Request) {
	m.started <- r.Header.Get(HeaderTask)
	if handler := m.handler.Load(); handler != nil {
		(*handler)(w, r)
		return
	}
	select {
	case <-m.release:
	case <-r.Context().Done():
	}
	_, _ = w.Write([]byte("result " + r.Header.Get(HeaderTask)))
}

// harness is a sidecar with a fake entry, a fake minion and a table.
type harness struct {
	t             *testing.T
	entry         *fakeEntry
	announcements *fakeAnnouncements
	minion        *fakeMinion
	table         store.Table
	sidecar       *Sidecar
	pool          *wire.Pool
	key           model.JobKey
	stop          context.CancelFunc
	ended         chan error
	// server and client encrypt the calls. Nil means plain TCP.
	server *tls.Config
	client *tls.Config
}

// newHarness starts a sidecar and waits until it has a permit and is ready.
func newHarness(t *testing.T, slots int) *harness {
	h := newStoppedHarness(t, slots, memory.NewTable())
	h.start()
	h.eventually("permit and ready", func() bool { return h.hasPermit() && h.state() == wire.TargetReady })
	return h
}

// newStoppedHarness returns a harness whose sidecar has not been started.
func newStoppedHarness(t *testing.T, slots int, table store.Table) *harness {
	return newTLSHarness(t, slots, table, nil, nil)
}

func newTLSHarness(t *testing.T, slots int, table store.Table, server, client *tls.Config) *harness {
	h := &harness{t: t, server: server, client: client, entry: &fakeEntry{}, minion: newFakeMinion(t), table: table, key: model.NewJobKey("desk")}
	h.entry.ttl.Store(int64(2 * time.Second))
	address := strings.TrimPrefix(h.minion.server.URL, "http://")
	h.announcements = &fakeAnnouncements{announcement: store.Announcement{Minion: "m", State: store.MinionReady, Address: address, Slots: slots, Connections: slots + 1}}
	h.serveEntry()
	h.pool = wire.NewPool(secret, client, nil)
	t.Cleanup(h.pool.Close)
	return h
}

// serveEntry serves the fake entry and writes its session row.
func (h *harness) serveEntry() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(h.t, err)
	server := wire.NewServer(secret, h.server)
	must.NoError(h.t, server.Register("Entry", h.entry))
	go func() { _ = server.Serve(listener) }()
	h.t.Cleanup(server.Close)
	row := sessionRow{Entry: wire.EntryInfo{Incarnation: entryName, Name: "e", Address: listener.Addr().String()}}
	value, err := json.Marshal(row)
	must.NoError(h.t, err)
	_, err = h.table.Commit(context.Background(), store.Txn{Writes: []store.Write{{Key: sessionPrefix + "e", Value: value}}})
	must.NoError(h.t, err)
}

// start starts a new incarnation of the sidecar.
func (h *harness) start() {
	created, err := New(Settings{
		Name: "s", Zone: "a", Worker: "w", RPCListen: "127.0.0.1:0", StatusListen: "127.0.0.1:0", Secret: secret,
	}, Dependencies{Table: h.table, Announcements: h.announcements, Logger: &log.Logger{Level: log.PanicLevel}, RPCServerTLS: h.server, RPCClientTLS: h.client})
	must.NoError(h.t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- created.Run(ctx)
		close(ended)
	}()
	h.sidecar, h.stop, h.ended = created, stop, ended
	h.t.Cleanup(func() {
		stop()
		h.minion.releaseAll.Do(func() { close(h.minion.release) })
		<-ended
	})
}

func (h *harness) hasPermit() bool {
	replyTo := make(chan renewalState, 1)
	current, err := ask(h.sidecar.mailbox, renewalStateMessage{entry: entryName, replyTo: replyTo}, replyTo)
	return err == nil && current.remaining > 0
}

func (h *harness) state() wire.TargetState {
	current, _ := h.sidecar.status()
	return current.state
}

func (h *harness) queued() int {
	current, _ := h.sidecar.status()
	return current.queued
}

func (h *harness) eventually(what string, condition func() bool) {
	h.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		must.True(h.t, time.Now().Before(deadline), must.Sprintf("timed out waiting for: %s", what))
		time.Sleep(5 * time.Millisecond)
	}
}

func (h *harness) request(index int) *wire.RunRequest {
	return &wire.RunRequest{
		Entry:   entryName,
		Sidecar: h.sidecar.Incarnation(),
		Ref:     model.TaskRef{Key: h.key, Index: index},
		Class:   "c",
		Timeout: waitTimeout,
	}
}

// run starts a Run call in the background.
func (h *harness) run(request *wire.RunRequest) <-chan wire.RunReply {
	return rpcCall[wire.RunReply](h, wire.MethodRun, request)
}

// rpcCall starts a call in the background. The channel receives the reply, or is
// closed without one if the call fails.
func rpcCall[T any](h *harness, method string, request any) <-chan T {
	out := make(chan T, 1)
	address := h.sidecar.Address()
	go func() {
		defer close(out)
		var reply T
		if h.pool.Call(context.Background(), address, method, request, &reply) == nil {
			out <- reply
		}
	}()
	return out
}

// receive returns the next item of ch. It fails the test if ch is closed or no item
// arrives within waitTimeout.
func receive[T any](t *testing.T, ch <-chan T) T {
	t.Helper()
	select {
	case item, open := <-ch:
		must.True(t, open, must.Sprint("the call failed"))
		return item
	case <-time.After(waitTimeout):
		t.Fatal("no item received")
		panic("unreachable")
	}
}
