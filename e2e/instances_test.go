package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/figring/figring/platform/standin"
)

const (
	instancesService = "desk"
	instancesHost    = "desk.example"
	instancesPrefix  = "/jobs/"
	// reportInterval is the time between two reports of the minion.
	reportInterval = 200 * time.Millisecond
	// callLimit bounds one ordinary request.
	callLimit = 10 * time.Second
)

// instances are a dispatcher and an executor as separate processes, with the stand-ins of
// the table and of the minion in the test process.
type instances struct {
	t          *testing.T
	dir        string
	table      *standin.Table
	tableHost  string
	dispatcher *instanceProcess
	executor   *instanceProcess
	jobs       int
	// label is the label that the minion reports.
	label atomic.Pointer[string]
}

// reportLabel makes the minion report the label from its next report on.
func (s *instances) reportLabel(label string) { s.label.Store(&label) }

// instanceProcess is a running dispatcher or executor with the addresses of its listeners
// by the names of their settings.
type instanceProcess struct {
	command   *exec.Cmd
	listeners map[string]string
	ended     chan struct{}
}

// startInstances starts both processes and waits until a job is answered. bodyBytes is
// the manifest's limit for the bodies of callers.
func startInstances(t *testing.T, bodyBytes int, extra map[string]any) *instances {
	t.Helper()
	takeProcesses(t, 2)
	s := &instances{t: t, dir: t.TempDir(), table: standin.NewTable()}
	store := httptest.NewServer(s.table.Handler())
	t.Cleanup(store.Close)
	s.tableHost = store.Listener.Addr().String()
	must.NoError(t, s.table.Put("op", "config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r", "host": instancesHost, "prefix": instancesPrefix, "service": instancesService,
			"attempts": 2, "stretch": 1.6, "slo_ms": 5000, "timeout_ms": 10_000,
		}},
		"services": []map[string]any{{"name": instancesService}},
		"limits":   map[string]any{"max_body_bytes": bodyBytes},
	}))
	minion := standin.NewMinion("i-0", &standin.Ledger{}, 1)
	served := httptest.NewServer(minion.Handler())
	t.Cleanup(served.Close)
	s.executor = s.start("executor", map[string]any{
		"reportsListen": freeAddress(t), "minion": served.Listener.Addr().String(),
	}, extra)
	s.dispatcher = s.start("dispatcher", map[string]any{
		"callersListen": freeAddress(t), "readyListen": freeAddress(t),
	}, extra)
	s.reportLabel("r1")
	go s.sendReports(minion)
	s.awaitJob()
	return s
}

// awaitJob waits until the entry is ready and an ordinary job is completed.
func (s *instances) awaitJob() {
	s.t.Helper()
	must.Wait(s.t, wait.InitialSuccess(wait.BoolFunc(func() bool { return s.ready() && s.submit() == http.StatusOK }),
		wait.Timeout(readyLimit), wait.Gap(50*time.Millisecond)))
}

// ready reports whether the entry is ready for callers.
func (s *instances) ready() bool {
	return s.call(http.MethodGet, "http://"+s.dispatcher.listeners["readyListen"]+"/-/ready", "") == http.StatusOK
}

// start starts the binary in a role. All instances use the same RPC port, on different
// addresses.
func (s *instances) start(role string, listeners map[string]any, extra map[string]any) *instanceProcess {
	s.t.Helper()
	values := map[string]any{
		"name": role, "zone": "a", "rpcListen": freeAddress(s.t), "statusListen": freeAddress(s.t),
		"seeds": []string{}, "table": s.tableHost, "secret": secret, "stopGrace": "2s",
	}
	maps.Copy(values, listeners)
	maps.Copy(values, extra)
	content, err := json.Marshal(values)
	must.NoError(s.t, err)
	name := fmt.Sprint(values["name"])
	path := filepath.Join(s.dir, name+".jsonc")
	must.NoError(s.t, os.WriteFile(path, content, 0o600))
	started := &instanceProcess{
		command: exec.Command(binary, role, "--settings", path), listeners: make(map[string]string), ended: make(chan struct{}),
	}
	for name, value := range values {
		if address, ok := value.(string); ok {
			started.listeners[name] = address
		}
	}
	output, err := os.Create(filepath.Join(s.dir, name+".log"))
	must.NoError(s.t, err)
	started.command.Stdout, started.command.Stderr = output, output
	must.NoError(s.t, started.command.Start())
	go func() { _ = started.command.Wait(); close(started.ended) }()
	s.t.Cleanup(func() { s.kill(started, output) })
	return started
}

func (s *instances) kill(p *instanceProcess, output *os.File) {
	_ = p.command.Process.Kill()
	<-p.ended
	if s.t.Failed() {
		const tail = 4 << 10
		if info, err := output.Stat(); err == nil {
			last := make([]byte, min(tail, info.Size()))
			_, _ = output.ReadAt(last, info.Size()-int64(len(last)))
			s.t.Logf("--- %s\n%s", output.Name(), last)
		}
	}
	_ = output.Close()
}

// sendReports sends the minion's reports until the test ends.
func (s *instances) sendReports(minion *standin.Minion) {
	url := fmt.Sprintf("http://%s/-/instances/i-0/heartbeat", s.executor.listeners["reportsListen"])
	for sequence := 1; s.t.Context().Err() == nil; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": instancesService, "state": "ready", "seq": sequence, "born": minion.Born(),
			"capacity": map[string]any{"cpu": 8000, "mem_mb": 1024}, "labels": []string{*s.label.Load()},
		})
		if response, err := http.Post(url, "application/json", bytes.NewReader(body)); err == nil {
			_ = response.Body.Close()
		}
		time.Sleep(reportInterval)
	}
}

// submit sends an ordinary job on a connection of its own and returns the status of the
// answer, or 0 if there is none.
func (s *instances) submit() int {
	s.jobs++
	url := fmt.Sprintf("http://%s%s%016x", s.dispatcher.listeners["callersListen"], instancesPrefix, s.jobs)
	body := `{"spec":"{\"work_ms\":1}","steps":[{"count":1,"cpu":1000,"est_ms":1}]}`
	return s.call(http.MethodPost, url, body)
}

func (s *instances) call(method, url, body string) int {
	request, err := http.NewRequest(method, url, bytes.NewBufferString(body))
	must.NoError(s.t, err)
	request.Host, request.Close = instancesHost, true
	client := http.Client{Timeout: callLimit}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// alive reports whether the process has not ended.
func (p *instanceProcess) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// peakBytes returns the largest resident set that the process has had.
func (p *instanceProcess) peakBytes(t *testing.T) int64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	must.NoError(t, err)
	_, after, found := bytes.Cut(raw, []byte("VmHWM:"))
	must.True(t, found)
	var kilobytes int64
	_, err = fmt.Sscan(string(after), &kilobytes)
	must.NoError(t, err)
	return kilobytes << 10
}

// descriptors returns the number of the process's open descriptors.
func (p *instanceProcess) descriptors(t *testing.T) int {
	t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	must.NoError(t, err)
	return len(open)
}

const (
	// settleInterval is the time between two looks at a process that works off what a
	// crowd has sent, and settleLooks bounds their number.
	settleInterval = 200 * time.Millisecond
	settleLooks    = 50
	// quietLooks is the number of looks in a row without work after which a process counts
	// as settled. On a busy machine a process may get no processor time for one.
	quietLooks = 3
	// idleTicks is the processor time, in ticks of the system, that a process uses in
	// settleInterval without a crowd.
	idleTicks = 2
)

// settle waits until the process has worked off what it was sent.
func (p *instanceProcess) settle(t *testing.T) {
	t.Helper()
	used, quiet := p.ticks(t), 0
	for looks := 0; looks < settleLooks && quiet < quietLooks; looks++ {
		time.Sleep(settleInterval)
		now := p.ticks(t)
		if now-used <= idleTicks {
			quiet++
		} else {
			quiet = 0
		}
		used = now
	}
}

// ticks returns the processor time that the process has used.
func (p *instanceProcess) ticks(t *testing.T) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	must.NoError(t, err)
	// The fields after the name of the command, which ends with the last parenthesis.
	fields := bytes.Fields(raw[bytes.LastIndexByte(raw, ')')+1:])
	const userField, systemField = 11, 12
	user, errUser := strconv.Atoi(string(fields[userField]))
	system, errSystem := strconv.Atoi(string(fields[systemField]))
	must.NoError(t, errors.Join(errUser, errSystem))
	return user + system
}

// crowd is a number of clients that keep their connections open until the test ends.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
	done  sync.WaitGroup
}

func newCrowd(t *testing.T) *crowd {
	c := &crowd{}
	t.Cleanup(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, conn := range c.conns {
			_ = conn.Close()
		}
	})
	return c
}

// join opens a connection for one more client. A connection that the process refuses is
// no failure.
func (c *crowd) join(address string) net.Conn {
	conn, err := net.DialTimeout("tcp", address, callLimit)
	if err != nil {
		return nil
	}
	_ = conn.SetDeadline(time.Now().Add(crowdLimit))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	return conn
}
