package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/platform/standin"
)

const (
	// storedSeed draws the faults and jobs of TestSoakWithStoredJobs unless seedsVariable
	// names others.
	storedSeed = 5
	// storedNetwork is the third octet of the loopback addresses of this test.
	storedNetwork = 30
	// cancelBound is the time after an acknowledged cancelling from which no task of the
	// job may start: 3 s, and as long again in which faults may have kept a machine away.
	cancelBound = 6 * time.Second
	// impatience is how long a client waits for the answer to a cancelling that leaves and
	// asks again at another entry.
	impatience = 150 * time.Millisecond
	// failingShare is the share of runs that fail.
	failingShare = 0.1
)

// TestSoakWithStoredJobs guards against stored jobs of several steps that are lost, run out
// of order, fail too early or too late, or go on after they were cancelled, and against
// processes that end by themselves, while all kinds of faults overlap. Clients cancel at any
// entry, leave and ask again.
func TestSoakWithStoredJobs(t *testing.T) {
	eachSeed(t, []uint64{storedSeed}, storedNetwork, soakWithStoredJobs)
}

func soakWithStoredJobs(t *testing.T, w *cluster, seed uint64) {
	w.addRemovedSidecar()
	told := newCallers(w)
	told.need = 800
	awaitService(t, told, "at the start")
	clients := &storedClients{callers: told, cancelled: make(map[string]time.Time), ends: make(map[string]string)}
	stop := clients.start(rand.New(rand.NewPCG(seed, 0)))
	play(w, rand.New(rand.NewPCG(seed, seed)), soakTime(t))
	stop()
	awaitService(t, told, "after the faults")
	clients.submitCalm(t)
	kept := clients.awaitEnds(t)
	awaitEachMinion(t, told)
	for _, task := range w.ledger.RepeatedTasks() {
		if id, _, _ := strings.Cut(task, "."); kept[id] {
			t.Errorf("task %s was started again after its end was acknowledged", task)
		}
	}
	check(t, w, told)
	checkSteps(t, w, kept)
	clients.checkFailures(t)
	checkAttempts(t, w, kept)
	clients.checkCancelled(t)
	checkNoPanic(t, w)
}

// storedClients submits stored jobs of several steps and cancels some of them.
type storedClients struct {
	*callers
	// cancelled is when the cancelling of a job was acknowledged.
	cancelled map[string]time.Time
	// ends has the states in which the accepted jobs ended.
	ends map[string]string
}

// start submits jobs until the returned function is called, which waits for the pending
// requests.
func (c *storedClients) start(random *rand.Rand) (stop func()) {
	stopped := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for number := 0; ; number++ {
			id := fmt.Sprintf("%08x%08x", random.Uint32(), number)
			body, entry := chain(random), random.IntN(entries)
			cancelAfter := time.Duration(0)
			if random.IntN(4) == 0 {
				cancelAfter = time.Duration(1+random.IntN(1500)) * time.Millisecond
			}
			wait.Go(func() { c.runJob(id, entry, body, cancelAfter) })
			select {
			case <-stopped:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	return func() {
		close(stopped)
		wait.Wait()
	}
}

// chain returns the body of a job of one to seven steps, each after the one before. One in
// twenty is larger than a row of the table, and one in three needs a certain minion.
func chain(random *rand.Rand) []byte {
	count, text := 1+random.IntN(7), ""
	if random.IntN(20) == 0 {
		count, text = 460, strings.Repeat("x", 3800)
	}
	label := ""
	if random.IntN(3) == 0 {
		label = minionLabel(random.IntN(sidecars))
	}
	var steps []map[string]any
	for i := range count {
		step := map[string]any{"count": 1 + random.IntN(2), "cpu": 800, "mem_mb": 8, "est_ms": 30, "required_label": label}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		if count > 100 {
			step["count"] = 1
		}
		steps = append(steps, step)
	}
	spec, _ := json.Marshal(struct {
		standin.Spec
		Text string `json:"text"`
	}{standin.Spec{WorkMillis: 10 + random.IntN(60), MilliCPU: 800, FailShare: failingShare, CheckpointMillis: checkpointMillis}, text})
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "steps": steps})
	return body
}

// runJob submits a job until it is accepted or refused, and cancels it after cancelAfter;
// 0 for never.
func (c *storedClients) runJob(id string, entry int, body []byte, cancelAfter time.Duration) {
	for until := time.Now().Add(callerTimeout); time.Now().Before(until); entry = (entry + 1) % entries {
		status, _ := c.call(http.MethodPost, id, entry, body)
		if status == http.StatusOK {
			c.mu.Lock()
			c.accepted = append(c.accepted, id)
			c.mu.Unlock()
			if cancelAfter > 0 || len(body) > 8000 {
				time.Sleep(max(cancelAfter, 200*time.Millisecond))
				c.cancelUntilAcknowledged(id, entry)
			}
			return
		}
		if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
			return
		}
		time.Sleep(retryDelay)
	}
}

// cancelUntilAcknowledged cancels a job at one entry after the other. The client leaves
// before the answer to its first request.
func (c *storedClients) cancelUntilAcknowledged(id string, entry int) {
	client := &http.Client{Timeout: impatience}
	for until := time.Now().Add(endAfter); time.Now().Before(until); client.Timeout = callerTimeout {
		entry = (entry + 1) % entries
		status, _ := c.callWith(client, http.MethodDelete, id, entry, nil)
		if status == http.StatusOK || status == http.StatusGone {
			c.mu.Lock()
			c.cancelled[id] = time.Now()
			c.mu.Unlock()
			return
		}
		time.Sleep(impatience)
	}
}

// submitCalm submits a job at each entry, which has to accept it once the faults are over.
func (c *storedClients) submitCalm(t *testing.T) {
	body := chain(rand.New(rand.NewPCG(0, 0)))
	until := time.Now().Add(calmAfter + callerTimeout)
	for entry := range entries {
		id := fmt.Sprintf("%016x", 0xca1d00+entry)
		status, _ := c.call(http.MethodPost, id, entry, body)
		for ; status != http.StatusOK && time.Now().Before(until); status, _ = c.call(http.MethodPost, id, entry, body) {
			time.Sleep(50 * time.Millisecond)
		}
		if status != http.StatusOK {
			t.Errorf("entry %d accepts no stored job after the faults: status %d", entry, status)
			continue
		}
		c.accepted = append(c.accepted, id)
	}
}

// awaitEnds waits until the accepted jobs have ended and returns them.
func (c *storedClients) awaitEnds(t *testing.T) map[string]bool {
	ended := map[string]bool{"completed": true, "failed": true, "cancelled": true}
	until := time.Now().Add(endAfter)
	kept := make(map[string]bool)
	for _, id := range c.accepted {
		kept[id] = true
		state := c.state(id, 0)
		for ; !ended[state] && time.Now().Before(until); state = c.state(id, 0) {
			time.Sleep(20 * time.Millisecond)
		}
		c.recordAnswer(id, state)
		c.ends[id] = state
		_, cancelled := c.cancelled[id]
		if !ended[state] || (state == "cancelled" && !cancelled) {
			t.Errorf("job %s was accepted but its state is %q", id, state)
		}
	}
	t.Logf("%d jobs were accepted, %d cancelled", len(c.accepted), len(c.cancelled))
	return kept
}

// checkCancelled checks that no task started long after its job's cancelling was
// acknowledged.
func (c *storedClients) checkCancelled(t *testing.T) {
	for _, run := range c.w.ledger.Entries() {
		id, _, _ := strings.Cut(run.Task, ".")
		if at, ok := c.cancelled[id]; ok && run.Started.After(at.Add(cancelBound)) {
			t.Errorf("task %s started %s after the cancelling of its job was acknowledged", run.Task, run.Started.Sub(at))
		}
	}
}

// checkSteps checks that each task of the jobs started after a task of the step before had
// been done.
func checkSteps(t *testing.T, w *cluster, kept map[string]bool) {
	type step struct {
		id     string
		number int
	}
	doneAt := make(map[step]time.Time)
	runs := w.ledger.Entries()
	for _, run := range runs {
		at := step{}
		parseTask(run.Task, &at.id, &at.number)
		if known, ok := doneAt[at]; run.Outcome == "done" && (!ok || run.Ended.Before(known)) {
			doneAt[at] = run.Ended
		}
	}
	for _, run := range runs {
		at := step{}
		parseTask(run.Task, &at.id, &at.number)
		if !kept[at.id] || at.number == 0 {
			continue
		}
		if done, ok := doneAt[step{at.id, at.number - 1}]; !ok || run.Started.Before(done) {
			t.Errorf("task %s started before the step before was done", run.Task)
		}
	}
}

// parseTask parses the job and the step in the name of a task.
func parseTask(name string, id *string, step *int) {
	parts := strings.Split(name, ".")
	*id = parts[0]
	_, _ = fmt.Sscanf(parts[2], "%d", step)
}

// checkNoPanic checks the output of all processes: none has ended by itself.
func checkNoPanic(t *testing.T, w *cluster) {
	logs, err := filepath.Glob(filepath.Join(w.dir, "*.log"))
	must.NoError(t, err)
	for _, path := range logs {
		raw, err := os.ReadFile(path)
		must.NoError(t, err)
		for _, sign := range []string{"panic: ", "fatal error: "} {
			if strings.Contains(string(raw), sign) {
				t.Errorf("%s ended by itself: its log has %q", filepath.Base(path), sign)
			}
		}
	}
}
