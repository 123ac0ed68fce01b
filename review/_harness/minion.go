package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The bounds of the small deployments that minions keep.
const (
	maxLease       = time.Second
	maxListedEnds  = 500
	heartbeatEvery = 1500 * time.Millisecond
	leaseCheck     = 5 * time.Millisecond
	minionMilliCPU = 32000
	minionMemMB    = 131072
	minionService  = "subs-desk"
)

// taskPlan is what the spec of a job says about its tasks.
type taskPlan struct {
	// Millis is the work of a task by the number of its step; the last one holds for all
	// later steps.
	Millis []int `json:"ms"`
	// Failures is how many runs of a task fail before one is done.
	Failures int `json:"fail"`
}

func (p taskPlan) work(step int) time.Duration {
	if len(p.Millis) == 0 {
		return 0
	}
	return time.Duration(p.Millis[min(step, len(p.Millis)-1)]) * time.Millisecond
}

// minion is a stand-in for a minion, by the section "Running tasks" of PROTOCOL.md.
type minion struct {
	id     string
	labels []string
	ledger *ledger
	born   time.Time

	mu       sync.Mutex
	fence    int64
	lease    time.Time
	running  map[string]*activeRun
	lastRun  map[string]int
	finished []endedRun
	sequence uint64
	changed  chan struct{}
}

type activeRun struct {
	task    string
	number  int
	started time.Time
	work    time.Duration
	fails   bool
	timer   *time.Timer
	entry   *ledgerRun
}

type endedRun struct {
	sequence uint64
	task     string
	number   int
	how      string
	entry    *ledgerRun
}

func newMinion(id string, labels []string, ledger *ledger) *minion {
	m := &minion{id: id, labels: labels, ledger: ledger, born: time.Now(), running: make(map[string]*activeRun), lastRun: make(map[string]int), changed: make(chan struct{})}
	go m.watchLease()
	return m
}

// serve serves the minion at its address and sends its pings to the control address.
func (m *minion) serve(address, zone, control string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", m.handle(m.start))
	mux.HandleFunc("POST /-/run-stop", m.handle(m.stop))
	mux.HandleFunc("POST /-/hold", m.handle(m.hold))
	go func() { _ = http.Serve(listener, mux) }()
	go m.ping(address, zone, control)
	return nil
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() + 1 }

func (m *minion) ping(address, zone, control string) {
	client := &http.Client{Timeout: time.Second}
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": minionService, "addr": address, "zone": zone, "version": "v1", "slots": 8, "state": "ready", "cold_ms": 0,
			"capacity": map[string]any{"cpu": minionMilliCPU, "mem_mb": minionMemMB, "gpu": 0}, "labels": m.labels,
			"clock_ms": m.clock(), "born": m.born.UnixMilli(), "seq": sequence,
		})
		response, err := client.Post("http://"+control+"/-/instances/"+m.id+"/heartbeat", "application/json", bytes.NewReader(body))
		pause := heartbeatEvery
		if err != nil {
			pause = 200 * time.Millisecond
		} else {
			_ = response.Body.Close()
		}
		time.Sleep(pause)
	}
}

type order struct {
	Task   string `json:"task"`
	Run    int    `json:"run"`
	Spec   string `json:"spec"`
	Lease  int64  `json:"deadline_ms"`
	Fence  int64  `json:"fence"`
	Acked  uint64 `json:"acked_upto"`
	WaitMs int64  `json:"wait_ms"`
}

func (m *minion) handle(serve func(order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		raw, err := readAll(r)
		var asked order
		if err != nil || json.Unmarshal(raw, &asked) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, body := serve(asked)
		body["clock_ms"], body["born"] = m.clock(), m.born.UnixMilli()
		reply(w, status, body)
	}
}

// admit takes the fence and the lease of an order. It returns false if the fence is too
// low. The caller holds the lock.
func (m *minion) admit(asked order) bool {
	if asked.Fence < m.fence {
		return false
	}
	m.fence = asked.Fence
	if asked.Lease > 0 {
		left := min(time.Duration(asked.Lease-m.clock())*time.Millisecond, maxLease)
		if until := time.Now().Add(left); until.After(m.lease) {
			m.lease = until
		}
	}
	return true
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (m *minion) start(asked order) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.admit(asked) {
		return refuse("fence")
	}
	if run, ok := m.running[asked.Task]; ok && run.number == asked.Run {
		return http.StatusOK, map[string]any{}
	}
	if asked.Run <= m.lastRun[asked.Task] {
		return refuse("old")
	}
	if asked.Lease < m.clock() {
		return refuse("late")
	}
	var plan taskPlan
	_ = json.Unmarshal([]byte(asked.Spec), &plan)
	entry, before := m.ledger.start(asked.Task, m.id, asked.Run)
	run := &activeRun{task: asked.Task, number: asked.Run, started: time.Now(), work: plan.work(stepOf(asked.Task)), fails: before < plan.Failures, entry: entry}
	m.lastRun[asked.Task] = asked.Run
	m.running[asked.Task] = run
	run.timer = time.AfterFunc(run.work, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		how := "done"
		if run.fails {
			how = "failed"
		}
		m.end(run, how)
	})
	return http.StatusOK, map[string]any{}
}

// end ends a run that is at work. The caller holds the lock.
func (m *minion) end(run *activeRun, how string) {
	if m.running[run.task] != run {
		return
	}
	delete(m.running, run.task)
	run.timer.Stop()
	m.ledger.end(run.entry, how)
	m.sequence++
	m.finished = append(m.finished, endedRun{m.sequence, run.task, run.number, how, run.entry})
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) watchLease() {
	for {
		time.Sleep(leaseCheck)
		m.mu.Lock()
		if time.Now().After(m.lease) {
			for _, run := range m.running {
				m.end(run, "lapsed")
			}
			for _, ended := range m.finished {
				m.ledger.lapse(ended.entry)
			}
		}
		m.mu.Unlock()
	}
}

func (m *minion) stop(asked order) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.admit(asked) {
		return refuse("fence")
	}
	m.lastRun[asked.Task] = max(m.lastRun[asked.Task], asked.Run)
	if run, ok := m.running[asked.Task]; ok && run.number == asked.Run {
		m.end(run, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

func (m *minion) hold(asked order) (int, map[string]any) {
	m.mu.Lock()
	if !m.admit(asked) {
		m.mu.Unlock()
		return refuse("fence")
	}
	m.finished = slices.DeleteFunc(m.finished, func(run endedRun) bool {
		if run.sequence <= asked.Acked {
			m.ledger.acknowledge(run.entry)
			return true
		}
		return false
	})
	waiting, changed := len(m.finished) == 0, m.changed
	m.mu.Unlock()
	if waiting && asked.WaitMs > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(asked.WaitMs) * time.Millisecond):
		}
	}
	return m.lists()
}

func (m *minion) lists() (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, run := range m.running {
		percent := 0
		if run.work > 0 {
			percent = min(int(100*time.Since(run.started)/run.work), 99)
		}
		running = append(running, []any{run.task, run.number, "", percent, 3100})
	}
	for _, run := range m.finished[:min(len(m.finished), maxListedEnds)] {
		finished = append(finished, []any{run.sequence, run.task, run.number, run.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// stepOf returns the number of the step in the name of a task.
func stepOf(task string) int {
	var occurrence, step, index int
	_, _ = fmt.Sscanf(task[jobDigits:], ".%d.%d.%d", &occurrence, &step, &index)
	return step
}
