package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/figring/figring/platform/standin"
)

const (
	queueHost   = "desk.example"
	queuePrefix = "/jobs/"
	serviceName = "desk"
	heartbeat   = 1500 * time.Millisecond
	// readDelay and writeDelay are the times that the table takes to answer.
	readDelay  = 4 * time.Millisecond
	writeDelay = 8 * time.Millisecond
)

// machine is one machine with a process of the system.
type machine struct {
	name, zone string
	entry      bool
	host       string
	// labels are those of the minion of a side machine.
	labels []string
}

// fault says what becomes of a call to the table.
type fault int

const (
	noFault fault = iota
	unavailable
	silent
)

// world is a small deployment: the processes of the system, and stand-ins for the platform's
// table, the minions and the clients.
type world struct {
	dir, binary string
	record      *record
	net         *network
	table       *standin.Table
	ledger      *standin.Ledger
	machines    []*machine
	watchers    map[string]*watcher
	minions     map[string]*standin.Minion

	port int

	mu         sync.Mutex
	tableFault func(machine string, request *http.Request, body []byte) fault
	// partsWritten has the partition of the table to which a job was last written.
	partsWritten map[string]string
	processes    map[string]*exec.Cmd
	over         bool

	life context.Context
	end  context.CancelFunc
	wait sync.WaitGroup
}

func newWorld(binary string, record *record, machines []*machine, routes []map[string]any, cpu map[string]int) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, binary: binary, record: record, net: newNetwork(), table: standin.NewTable(), ledger: &standin.Ledger{},
		machines: machines, watchers: make(map[string]*watcher), minions: make(map[string]*standin.Minion),
		partsWritten: make(map[string]string), processes: make(map[string]*exec.Cmd),
	}
	w.tableFault = func(string, *http.Request, []byte) fault { return noFault }
	w.life, w.end = context.WithCancel(context.Background())
	if w.port, err = freePort(); err != nil {
		return nil, err
	}
	for i, one := range machines {
		one.host = fmt.Sprintf("127.%d.%d.%d", 70+os.Getpid()%50, (os.Getpid()/50)%250, 10+i)
	}
	if err := w.table.Put("op", "config", map[string]any{
		"version": 1, "routes": routes, "services": []map[string]any{{"name": serviceName}},
	}); err != nil {
		return nil, err
	}
	for _, one := range machines {
		if _, err := w.net.newProxy(one.name, w.address(one, 6), w.address(one, 0)); err != nil {
			return nil, err
		}
		if !one.entry {
			if err := w.startMinion(one, cpu[one.name]); err != nil {
				return nil, err
			}
		}
	}
	for _, one := range machines {
		if err := w.start(one); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func freePort() (int, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// address returns an address of a machine: 0 RPC, 1 callers or reports, 2 status, 3 ready,
// 4 minion, 5 table as this machine reaches it, 6 the proxy in front of RPC.
func (w *world) address(one *machine, offset int) string {
	return fmt.Sprintf("%s:%d", one.host, w.port%50000+1024+offset)
}

func (w *world) machine(name string) *machine {
	for _, one := range w.machines {
		if one.name == name {
			return one
		}
	}
	return nil
}

// setTableFault sets what becomes of calls to the table from now on; nil for no faults.
func (w *world) setTableFault(draw func(machine string, request *http.Request, body []byte) fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if draw == nil {
		draw = func(string, *http.Request, []byte) fault { return noFault }
	}
	w.tableFault = draw
}

// serveTable serves the table to one machine.
func (w *world) serveTable(one *machine) error {
	listener, err := net.Listen("tcp", w.address(one, 5))
	if err != nil {
		return err
	}
	handler := w.table.Handler()
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if w.failTable(rw, r, one.name, body) {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if r.Method == http.MethodPost {
			w.noteParts(body)
			recorded := httptest.NewRecorder()
			handler.ServeHTTP(recorded, r)
			time.Sleep(writeDelay)
			w.deliver(rw, r, one.name, recorded)
			return
		}
		if strings.HasSuffix(r.URL.Path, "rows-feed") {
			ctx, cancel := context.WithCancel(r.Context())
			defer cancel()
			recorded := httptest.NewRecorder()
			handler.ServeHTTP(recorded, r.WithContext(ctx))
			w.deliver(rw, r, one.name, recorded)
			return
		}
		time.Sleep(readDelay)
		recorded := httptest.NewRecorder()
		handler.ServeHTTP(recorded, r)
		w.deliver(rw, r, one.name, recorded)
	})}
	context.AfterFunc(w.life, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

// failTable fails a call to the table if that is due.
func (w *world) failTable(rw http.ResponseWriter, r *http.Request, name string, body []byte) bool {
	if w.net.isCut(name, "store") {
		w.hang(r, name)
		return true
	}
	w.mu.Lock()
	drawn := w.tableFault(name, r, body)
	w.mu.Unlock()
	switch drawn {
	case unavailable:
		time.Sleep(readDelay)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return true
	case silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return false
}

// hang leaves a call unanswered: it was sent into a cut and is lost.
func (w *world) hang(r *http.Request, name string) {
	for w.net.isCut(name, "store") && r.Context().Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	panic(http.ErrAbortHandler)
}

// deliver sends an answer of the table unless a cut has begun meanwhile.
func (w *world) deliver(rw http.ResponseWriter, r *http.Request, name string, answer *httptest.ResponseRecorder) {
	if w.net.isCut(name, "store") {
		w.hang(r, name)
	}
	for key, values := range answer.Header() {
		rw.Header()[key] = values
	}
	rw.WriteHeader(answer.Code)
	_, _ = rw.Write(answer.Body.Bytes())
}

// noteParts records the partition of each job that a transaction writes.
func (w *world) noteParts(body []byte) {
	var asked struct {
		Writes []struct{ Part, Key string } `json:"writes"`
	}
	if json.Unmarshal(body, &asked) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, one := range asked.Writes {
		if at := strings.LastIndexByte(one.Key, '/'); at >= 0 && one.Part != "" {
			w.partsWritten[one.Key[at+1:]] = one.Part
		}
	}
}

func (w *world) partOf(job string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.partsWritten[job]
}

// partAsked returns the partition that a call to the table names.
func partAsked(r *http.Request, body []byte) string {
	if r.Method == http.MethodGet {
		return r.URL.Query().Get("part")
	}
	var asked struct {
		Expect, Writes, Remove []struct{ Part string }
	}
	if json.Unmarshal(body, &asked) != nil {
		return ""
	}
	for _, one := range append(append(asked.Expect, asked.Writes...), asked.Remove...) {
		if one.Part != "" {
			return one.Part
		}
	}
	return ""
}

// startMinion starts the minion of a side machine. Its calls pass a watcher.
func (w *world) startMinion(one *machine, cpu int) error {
	listener, err := net.Listen("tcp", w.address(one, 4))
	if err != nil {
		return err
	}
	minion := standin.NewMinion("i-"+one.name, w.ledger, 1)
	watching := newWatcher(one.name, w.record, minion.Handler())
	server := &http.Server{Handler: watching}
	context.AfterFunc(w.life, func() { minion.Close(); _ = server.Close() })
	w.minions[one.name] = minion
	w.watchers[one.name] = watching
	go func() { _ = server.Serve(listener) }()
	go w.beat(one, minion, cpu)
	return nil
}

// beat sends the pings of a minion to its sidecar.
func (w *world) beat(one *machine, minion *standin.Minion, cpu int) {
	url := fmt.Sprintf("http://%s/-/instances/i-%s/heartbeat", w.address(one, 1), one.name)
	client := &http.Client{Timeout: time.Second}
	began := time.Now()
	for sequence := 1; w.life.Err() == nil; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": serviceName, "addr": w.address(one, 4), "zone": one.zone, "version": "v1", "slots": 8, "state": "ready", "cold_ms": 0,
			"capacity": map[string]any{"cpu": cpu, "mem_mb": 131072, "gpu": 0}, "labels": one.labels,
			"clock_ms": time.Since(began).Milliseconds() + 1, "seq": sequence, "born": minion.Born(),
		})
		pause := heartbeat
		if response, err := client.Post(url, "application/json", bytes.NewReader(body)); err == nil {
			_ = response.Body.Close()
		} else {
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// start runs the process of a machine, and starts it again when it ends.
func (w *world) start(one *machine) error {
	if err := w.serveTable(one); err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(w.settings(one), "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(w.dir, one.name+".jsonc")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(w.dir, one.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	role := "executor"
	if one.entry {
		role = "dispatcher"
	}
	w.wait.Go(func() {
		defer func() { _ = out.Close() }()
		for w.runOnce(one.name, role, path, out) {
			time.Sleep(700 * time.Millisecond)
		}
	})
	return nil
}

func (w *world) runOnce(name, role, settings string, out *os.File) bool {
	command := exec.Command(w.binary, role)
	command.Env = append(os.Environ(), "FIGRING_CONFIG="+settings)
	command.Stdout, command.Stderr = out, out
	w.mu.Lock()
	if w.over {
		w.mu.Unlock()
		return false
	}
	err := command.Start()
	if err == nil {
		w.processes[name] = command
		w.net.setPID(name, command.Process.Pid)
	}
	w.mu.Unlock()
	if err != nil {
		w.record.write("%s can't start: %v", name, err)
		return false
	}
	ended := command.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.over {
		w.record.write("process of %s ended: %v", name, ended)
	}
	return !w.over
}

// settings are those that the templates in deploy/ give, with addresses of this run.
func (w *world) settings(one *machine) map[string]any {
	var seeds []string
	for _, other := range w.machines {
		if other.entry && len(seeds) < 3 {
			seeds = append(seeds, w.address(other, 6))
		}
	}
	settings := map[string]any{
		"name": one.name, "zone": one.zone, "rpcListen": w.address(one, 0), "rpcAdvertise": w.address(one, 6),
		"statusListen": w.address(one, 2), "seeds": seeds, "table": w.address(one, 5), "secret": "figring-internal-link",
		"stopGrace": "6s", "runTimeEstimates": true, "separateInterference": true,
	}
	if one.entry {
		settings["callersListen"], settings["readyListen"] = w.address(one, 1), w.address(one, 3)
		settings["partWritesPerSecond"], settings["rowBytes"] = 150, 65536
		settings["memoryMB"], settings["maxDescriptors"] = 284, 4100
		settings["classScheduling"] = true
		return settings
	}
	settings["reportsListen"], settings["minion"] = w.address(one, 1), w.address(one, 4)
	settings["memoryMB"], settings["maxDescriptors"] = 152, 4096
	return settings
}

// signal sends a signal to the process of a machine.
func (w *world) signal(name string, what syscall.Signal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if command := w.processes[name]; command != nil && command.Process != nil {
		w.record.write("%s gets %s", name, what)
		_ = command.Process.Signal(what)
	}
}

// stop ends all processes and stand-ins.
func (w *world) stop() {
	w.mu.Lock()
	w.over = true
	for _, command := range w.processes {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
	}
	w.mu.Unlock()
	w.wait.Wait()
	w.end()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// awaitReady waits until all entries are ready.
func (w *world) awaitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for _, one := range w.machines {
		if !one.entry {
			continue
		}
		for {
			response, err := http.Get("http://" + w.address(one, 3) + "/-/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// call sends a request of a client and records it.
func (w *world) call(name, method, id string, body any, patience time.Duration) (int, string) {
	var encoded []byte
	if body != nil {
		encoded, _ = json.Marshal(body)
	}
	target := url.URL{Scheme: "http", Host: w.address(w.machine(name), 1), Path: queuePrefix + id}
	request, err := http.NewRequest(method, target.String(), bytes.NewReader(encoded))
	if err != nil {
		return 0, ""
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		w.record.write("client: %s %s at %s: no answer after %d ms", method, id, name, time.Since(began).Milliseconds())
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(response.Body)
	text := strings.TrimSpace(string(answer))
	if method != http.MethodGet {
		w.record.write("client: %s %s at %s: %d %s after %d ms", method, id, name, response.StatusCode, text, time.Since(began).Milliseconds())
	}
	var told struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(answer, &told)
	return response.StatusCode, told.State
}

// spec returns the spec of a task that the stand-in minions run.
func spec(work time.Duration, cpu int) string {
	text, _ := json.Marshal(standin.Spec{WorkMillis: int(work.Milliseconds()), MilliCPU: int64(cpu)})
	return string(text)
}

// cutZone returns a cut of a zone from the other zones and from the store.
func (w *world) cutZone(zone string) func(from, to string) bool {
	return func(from, to string) bool {
		a, b := w.machine(from), w.machine(to)
		inA, inB := a != nil && a.zone == zone, b != nil && b.zone == zone
		return inA != inB
	}
}
