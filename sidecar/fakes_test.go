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
	// patience bounds every wait for something that must happen.
	patience = 10 * time.Second
)

// fakeEntry answers renewals with permits of a length that tests change.
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

func (e *fakeEntry) heard(state wire.TargetState) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, one := range e.states {
		if one == state {
			return true
		}
	}
	return false
}

// fakeBeats announces a minion every interval until it is silenced.
type fakeBeats struct {
	mu     sync.Mutex
	said   store.Announcement
	silent atomic.Bool
	begun  atomic.Bool
}

const beatInterval = 100 * time.Millisecond

func (b *fakeBeats) Next(ctx context.Context) (store.Announcement, error) {
	if b.begun.Swap(true) {
		if err := pause.For(ctx, beatInterval); err != nil {
			return store.Announcement{}, err
		}
	}
	if b.silent.Load() {
		<-ctx.Done()
		return store.Announcement{}, ctx.Err()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.said, nil
}

func (b *fakeBeats) say(state store.AnnouncementState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.said.State = state
}

// fakeMinion runs each task until it is released, and counts the runs.
type fakeMinion struct {
	server  *httptest.Server
	release chan struct{}
	open    sync.Once
	started chan string
	stopped chan string
	answer  atomic.Pointer[http.HandlerFunc]
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
	if special := m.answer.Load(); special != nil {
		(*special)(w, r)
		return
	}
	select {
	case <-m.release:
	case <-r.Context().Done():
	}
	_, _ = w.Write([]byte("result " + r.Header.Get(HeaderTask)))
}

// rig is a running sidecar with an entry, a minion and a table around it.
type rig struct {
	t       *testing.T
	entry   *fakeEntry
	beats   *fakeBeats
	minion  *fakeMinion
	table   store.Table
	sidecar *Sidecar
	pool    *wire.Pool
	key     model.JobKey
	stop    context.CancelFunc
	ended   chan error
	// server and client secure the calls; nil is plain TCP.
	server *tls.Config
	client *tls.Config
}

func newRig(t *testing.T, slots int) *rig {
	r := newIdleRig(t, slots, memory.NewTable())
	r.begin()
	r.eventually("live", func() bool { return r.live() && r.state() == wire.TargetReady })
	return r
}

func newIdleRig(t *testing.T, slots int, table store.Table) *rig {
	return newTLSRig(t, slots, table, nil, nil)
}

func newTLSRig(t *testing.T, slots int, table store.Table, server, client *tls.Config) *rig {
	r := &rig{t: t, server: server, client: client, entry: &fakeEntry{}, minion: newFakeMinion(t), table: table, key: model.NewJobKey("desk")}
	r.entry.ttl.Store(int64(2 * time.Second))
	address := strings.TrimPrefix(r.minion.server.URL, "http://")
	r.beats = &fakeBeats{said: store.Announcement{Minion: "m", State: store.MinionReady, Address: address, Slots: slots, Connections: slots + 1}}
	r.serveEntry()
	r.pool = wire.NewPool(secret, client, nil)
	t.Cleanup(r.pool.Close)
	return r
}

func (r *rig) serveEntry() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(r.t, err)
	server := wire.NewServer(secret, r.server)
	must.NoError(r.t, server.Register("Entry", r.entry))
	go func() { _ = server.Serve(listener) }()
	r.t.Cleanup(server.Close)
	row := sessionRow{Entry: wire.EntryInfo{Incarnation: entryName, Name: "e", Address: listener.Addr().String()}}
	value, err := json.Marshal(row)
	must.NoError(r.t, err)
	_, err = r.table.Commit(context.Background(), store.Txn{Writes: []store.Write{{Key: sessionPrefix + "e", Value: value}}})
	must.NoError(r.t, err)
}

// begin starts a new incarnation of the sidecar.
func (r *rig) begin() {
	made, err := New(Settings{
		Name: "s", Zone: "a", Worker: "w", RPCListen: "127.0.0.1:0", StatusListen: "127.0.0.1:0", Secret: secret,
	}, Dependencies{Table: r.table, Announcements: r.beats, Logger: &log.Logger{Level: log.PanicLevel}, RPCServerTLS: r.server, RPCClientTLS: r.client})
	must.NoError(r.t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- made.Run(ctx)
		close(ended)
	}()
	r.sidecar, r.stop, r.ended = made, stop, ended
	r.t.Cleanup(func() {
		stop()
		r.minion.open.Do(func() { close(r.minion.release) })
		<-ended
	})
}

func (r *rig) live() bool {
	answer := make(chan renewalState, 1)
	got, err := ask(r.sidecar.mailbox, renewalStateMessage{entry: entryName, answer: answer}, answer)
	return err == nil && got.remaining > 0
}

func (r *rig) state() wire.TargetState {
	now, _ := r.sidecar.status()
	return now.state
}

func (r *rig) queued() int {
	now, _ := r.sidecar.status()
	return now.queued
}

func (r *rig) eventually(what string, holds func() bool) {
	r.t.Helper()
	limit := time.Now().Add(patience)
	for !holds() {
		must.True(r.t, time.Now().Before(limit), must.Sprintf("never: %s", what))
		time.Sleep(5 * time.Millisecond)
	}
}

func (r *rig) request(index int) *wire.RunRequest {
	return &wire.RunRequest{
		Entry:   entryName,
		Sidecar: r.sidecar.Incarnation(),
		Ref:     model.TaskRef{Key: r.key, Index: index},
		Class:   "c",
		Timeout: patience,
	}
}

// run makes a Run call in the background.
func (r *rig) run(request *wire.RunRequest) <-chan wire.RunReply {
	return rpcCall[wire.RunReply](r, wire.MethodRun, request)
}

// rpcCall makes a call in the background. The channel is closed without an item
// when the call fails.
func rpcCall[T any](r *rig, method string, request any) <-chan T {
	out := make(chan T, 1)
	address := r.sidecar.Address()
	go func() {
		defer close(out)
		var reply T
		if r.pool.Call(context.Background(), address, method, request, &reply) == nil {
			out <- reply
		}
	}()
	return out
}

// wait returns the next item, or fails the test.
func wait[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case one, open := <-from:
		must.True(t, open, must.Sprint("the call failed"))
		return one
	case <-time.After(patience):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}
