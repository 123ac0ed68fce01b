package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/figring/figring/platform/standin"
)

// callers submit jobs, come again after a broken connection, and remember what
// they were told.
type callers struct {
	w *world
	// every is the time between two jobs, need what each task takes.
	every time.Duration
	need  int64

	mu sync.Mutex
	// refused are the jobs whose every submission was refused.
	refused map[string]bool
	// completed are the jobs told as completed.
	completed map[string]bool
	asked     int
	// accepted are the jobs that have to be stored and were told as accepted.
	accepted []string
}

const (
	// comeAgain is how long a caller waits after a broken connection.
	comeAgain = 1300 * time.Millisecond
	patience  = 3 * time.Second
)

func newCallers(w *world) *callers {
	return &callers{w: w, every: 25 * time.Millisecond, need: 1500, refused: make(map[string]bool), completed: make(map[string]bool)}
}

// run submits jobs at a steady rate until stop is closed, and waits for the
// answers.
func (c *callers) run(random *rand.Rand, stop <-chan struct{}) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for number := 0; ; number++ {
		id := fmt.Sprintf("%08x%08x", random.Uint32(), number)
		entry, tasks, work := random.IntN(entries), 1+random.IntN(4), 20+random.IntN(200)
		wait.Go(func() {
			if number%keptEvery == 0 {
				c.keeper(id, entry, tasks, work)
				return
			}
			c.caller(id, entry, tasks, work)
		})
		select {
		case <-stop:
			return
		case <-time.After(c.every):
		}
	}
}

// keptEvery says which jobs have to be stored: one in that many.
const keptEvery = 5

// keeper submits a job that has to be stored, until it is accepted or refused.
func (c *callers) keeper(id string, entry, tasks, work int) {
	until := time.Now().Add(patience)
	allRefused := true
	for time.Now().Before(until) {
		status, _ := c.submitKept(id, entry, tasks, work)
		c.mu.Lock()
		if status == http.StatusOK {
			c.accepted = append(c.accepted, id)
		}
		refused := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
		allRefused = allRefused && refused
		if allRefused {
			c.refused[id] = true
		} else {
			delete(c.refused, id)
		}
		c.mu.Unlock()
		if status == http.StatusOK || refused {
			return
		}
		time.Sleep(comeAgain)
		entry = (entry + 1) % entries
	}
}

func (c *callers) caller(id string, entry, tasks, work int) {
	allRefused := true
	until := time.Now().Add(patience)
	for time.Now().Before(until) {
		status, state := c.submit(id, entry, tasks, work)
		if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
			break
		}
		allRefused = false
		if status == http.StatusOK {
			c.told(id, state)
			return
		}
		time.Sleep(comeAgain)
		entry = (entry + 1) % entries
	}
	if allRefused {
		c.mu.Lock()
		c.refused[id] = true
		c.mu.Unlock()
	}
}

func (c *callers) told(id, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == "completed" {
		c.completed[id] = true
	}
}

// checkpointMillis is the time between two checkpoints of a task.
const checkpointMillis = 25

// submit returns the status of the answer, 0 when there was none.
func (c *callers) submit(id string, entry, tasks, work int) (int, string) {
	return c.send(id, entry, tasks, work, true)
}

// submitKept submits a job that has to be stored.
func (c *callers) submitKept(id string, entry, tasks, work int) (int, string) {
	return c.send(id, entry, tasks, work, false)
}

func (c *callers) send(id string, entry, tasks, work int, bestEffort bool) (int, string) {
	c.mu.Lock()
	c.asked++
	c.mu.Unlock()
	spec, _ := json.Marshal(standin.Spec{WorkMillis: work, MilliCPU: c.need, CheckpointMillis: checkpointMillis})
	body, _ := json.Marshal(map[string]any{
		"spec": string(spec), "best_effort": bestEffort,
		"steps": []map[string]any{{"count": tasks, "cpu": c.need, "mem_mb": 8, "est_ms": work}},
	})
	return c.call(http.MethodPost, id, entry, body)
}

// state returns the state of a job, empty when there is no answer.
func (c *callers) state(id string, entry int) string {
	_, state := c.call(http.MethodGet, id, entry, nil)
	return state
}

func (c *callers) call(method, id string, entry int, body []byte) (int, string) {
	request, err := http.NewRequest(method, "http://"+c.w.address(10+entry, 1)+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = host
	request.Header.Set("Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	client := &http.Client{Timeout: patience}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	var told struct {
		State string `json:"state"`
	}
	// Refusals have no body.
	_ = json.NewDecoder(response.Body).Decode(&told)
	return response.StatusCode, told.State
}
