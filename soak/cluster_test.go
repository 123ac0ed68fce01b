package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/platform/standin"
)

const (
	sidecars = 5
	entries  = 2
	host     = "desk.example"
	prefix   = "/jobs/"
	capacity = 8000
)

// cluster is the figring processes of one run and the stand-ins for the table and
// the minions.
type cluster struct {
	t      testing.TB
	dir    string
	binary string
	// network is the third octet of the loopback addresses of the run.
	network int
	port    int
	// more holds additional settings for all processes.
	more map[string]any

	table   *standin.Table
	store   *httptest.Server
	ledger  *standin.Ledger
	minions []*standin.Minion
	proxies []*proxy

	// life ends with the run.
	life    context.Context
	endLife context.CancelFunc

	mu        sync.Mutex
	processes map[string]*exec.Cmd
	ended     bool
}

func newCluster(t testing.TB, binary string, network int) *cluster {
	t.Helper()
	return newClusterWith(t, binary, network, nil)
}

// newClusterWith starts the stand-ins and the processes, the latter with additional
// settings.
func newClusterWith(t testing.TB, binary string, network int, more map[string]any) *cluster {
	w := &cluster{
		more: more, t: t, dir: t.TempDir(), binary: binary, network: network, table: standin.NewTable(),
		ledger: &standin.Ledger{}, processes: make(map[string]*exec.Cmd), port: freePort(t),
	}
	w.life, w.endLife = context.WithCancel(context.Background())
	w.store = httptest.NewServer(w.table.Handler())
	w.configure(1)
	for i := range sidecars {
		w.startMinion(i)
	}
	t.Cleanup(w.end)
	for i := range sidecars {
		w.start(sidecarName(i))
	}
	for i := range entries {
		w.start(entryName(i))
	}
	return w
}

func freePort(t testing.TB) int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

func sidecarName(i int) string { return fmt.Sprintf("side-%d", i) }
func entryName(i int) string   { return fmt.Sprintf("entry-%d", i) }

// minionLabel returns the label that one minion alone has.
func minionLabel(i int) string { return fmt.Sprintf("only-%d", i) }

// unusedRoutes is the number of routes of a manifest in addition to the one that callers
// use, so that a manifest is as large as those of large deployments.
const unusedRoutes = 1400

func (w *cluster) configure(version int) {
	routes := []map[string]any{{
		"name": "r", "host": host, "prefix": prefix, "service": "desk", "attempts": 3, "stretch": 1.6, "slo_ms": 300,
		"priority": 1,
	}}
	for i := range unusedRoutes {
		unused := maps.Clone(routes[0])
		unused["priority"] = 0
		unused["name"], unused["prefix"] = fmt.Sprintf("r-%d", i), fmt.Sprintf("/unused-%d/", i)
		routes = append(routes, unused)
	}
	must.NoError(w.t, w.table.Put("op", "config", map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []map[string]any{{"name": "desk"}},
	}))
}

// address returns an address in the network of the run, whose second octet belongs to this
// test process, so that others cannot take its ports. Host numbers: entries
// from 10, sidecars from 50, minions from 100, proxies of sidecars from 150.
func (w *cluster) address(hostNumber, portOffset int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+os.Getpid()%60, w.network, hostNumber, w.port+portOffset)
}

func (w *cluster) startMinion(i int) {
	between, err := newProxy(w.address(150+i, 0), w.address(50+i, 0))
	must.NoError(w.t, err)
	w.proxies = append(w.proxies, between)
	w.t.Cleanup(func() { _ = between.listener.Close() })
	w.minions = append(w.minions, nil)
	w.runMinion(i)
}

// crashPause is the time from the crash of a minion until it is back.
const crashPause = 600 * time.Millisecond

// runMinion runs a minion until the run ends, or until a task crashes it; then another
// takes its place after crashPause.
func (w *cluster) runMinion(i int) {
	listener, err := net.Listen("tcp", w.address(100+i, 0))
	if err != nil {
		w.t.Errorf("minion %d can't listen: %v", i, err)
		return
	}
	minion := standin.NewMinion(fmt.Sprintf("i-%d", i), w.ledger, uint64(i))
	server := &http.Server{Handler: minion.Handler()}
	life, end := context.WithCancel(w.life)
	context.AfterFunc(life, func() { minion.Crash(); _ = server.Close() })
	minion.OnCrash(func() {
		end()
		time.AfterFunc(crashPause, func() {
			if !w.over() {
				w.runMinion(i)
			}
		})
	})
	w.mu.Lock()
	w.minions[i] = minion
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go w.beat(life, i, minion)
}

// minion returns the minion that runs now or ran last at a place.
func (w *cluster) minion(i int) *standin.Minion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.minions[i]
}

// beat sends the heartbeats of a minion to its sidecar until its life ends.
func (w *cluster) beat(life context.Context, i int, minion *standin.Minion) {
	url := fmt.Sprintf("http://%s/-/instances/i-%d/heartbeat", w.address(50+i, 1), i)
	client := &http.Client{Timeout: time.Second}
	for sequence := 1; life.Err() == nil; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": "desk", "state": "ready", "seq": sequence, "born": minion.Born(),
			"capacity": map[string]any{"cpu": capacity, "mem_mb": 1024}, "labels": []string{minionLabel(i)},
		})
		if response, err := client.Post(url, "application/json", bytes.NewReader(body)); err == nil {
			_ = response.Body.Close()
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func (w *cluster) over() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

// start runs a process in the background and restarts it whenever it ends.
func (w *cluster) start(name string) {
	role, settings := w.settings(name)
	encoded, err := json.Marshal(settings)
	must.NoError(w.t, err)
	path := filepath.Join(w.dir, name+".jsonc")
	must.NoError(w.t, os.WriteFile(path, encoded, 0o600))
	out, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(w.t, err)
	go func() {
		defer func() { _ = out.Close() }()
		for !w.over() {
			w.runOnce(name, exec.Command(w.binary, role, "--settings", path), out)
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

func (w *cluster) runOnce(name string, command *exec.Cmd, out *os.File) {
	command.Stdout, command.Stderr = out, out
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return
	}
	err := command.Start()
	w.processes[name] = command
	w.mu.Unlock()
	if err == nil {
		_ = command.Wait()
	}
}

// settings returns the role of the named process and its settings.
func (w *cluster) settings(name string) (string, map[string]any) {
	var number int
	shared := map[string]any{
		"name": name, "seeds": []string{w.address(10, 0), w.address(11, 0)}, "secret": "a-secret-of-the-soak",
		"table": w.store.Listener.Addr().String(), "stopGrace": "4s",
	}
	maps.Copy(shared, w.more)
	if _, err := fmt.Sscanf(name, "side-%d", &number); err == nil {
		shared["zone"] = string(rune('a' + number%3))
		shared["rpcListen"] = w.address(50+number, 0)
		shared["rpcAdvertise"] = w.address(150+number, 0)
		shared["reportsListen"] = w.address(50+number, 1)
		shared["statusListen"] = w.address(50+number, 2)
		shared["minion"] = w.address(100+number, 0)
		return "executor", shared
	}
	_, _ = fmt.Sscanf(name, "entry-%d", &number)
	shared["zone"] = string(rune('a' + number%3))
	shared["rpcListen"] = w.address(10+number, 0)
	shared["callersListen"] = w.address(10+number, 1)
	shared["statusListen"] = w.address(10+number, 2)
	shared["readyListen"] = w.address(10+number, 3)
	shared["classScheduling"] = true
	return "dispatcher", shared
}

// signal sends a signal to the named process if it was started.
func (w *cluster) signal(name string, what syscall.Signal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if command := w.processes[name]; command != nil && command.Process != nil {
		_ = command.Process.Signal(what)
	}
}

// signalEntries sends a signal to all entries at once.
func (w *cluster) signalEntries(what syscall.Signal) {
	for i := range entries {
		w.signal(entryName(i), what)
	}
}

// addRemovedSidecar adds the row of a sidecar whose machine was removed for good.
func (w *cluster) addRemovedSidecar() {
	must.NoError(w.t, w.table.Put("members", "side-removed", map[string]any{
		"name": "side-removed", "role": "sidecar", "zone": "a", "address": w.address(99, 0), "boot": "1",
	}))
}

// end kills the processes of the run and stops the table.
func (w *cluster) end() {
	w.mu.Lock()
	w.ended = true
	w.endLife()
	for _, command := range w.processes {
		if command.Process != nil {
			_ = command.Process.Kill()
		}
	}
	w.mu.Unlock()
	w.store.CloseClientConnections()
	w.store.Close()
	time.Sleep(50 * time.Millisecond)
}
