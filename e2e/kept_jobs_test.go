package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"golang.org/x/sync/errgroup"
)

// The smallest machines of the pages, in millions of bytes as their settings have them.
const (
	smallEntryMB   = 144
	smallSidecarMB = 128
	megabyte       = 1_000_000
)

const (
	// keptClients submit a kept job each, of keptSteps steps of keptTasks tasks, in each of
	// keptWaves waves.
	keptClients = 480
	keptWaves   = 3
	keptSteps   = 40
	keptTasks   = 100
	// absentLabel is a label that no minion has, until one reports it.
	absentLabel = "absent"
	// ordinaryJobs are the kept jobs of one task that ordinary callers submit before a crowd.
	ordinaryJobs = 10
	// checksAtOnce is the number of jobs that are asked for or cancelled at the same time.
	checksAtOnce = 16
	// adoptionLimit bounds the wait for the jobs of an entry that has ended.
	adoptionLimit = time.Minute
)

// keptBody returns a kept job of steps steps with tasks tasks each. Each one runs on a
// minion with the label; with any if it is empty.
func keptBody(steps, tasks int, label string) string {
	step := fmt.Sprintf(`{"count":%d,"cpu":1000,"est_ms":1,"required_label":%q}`, tasks, label)
	return fmt.Sprintf(`{"spec":"{\"work_ms\":1}","steps":[%s]}`, strings.TrimSuffix(strings.Repeat(step+",", steps), ","))
}

// keptCrowd has the identifiers of kept jobs by what became of their submission.
type keptCrowd struct {
	mu               sync.Mutex
	accepted, broken []string
	// refused counts those that were told when to try again, unknown those that were told
	// that it is unknown whether the job is kept, and closed those whose connection was
	// closed, which is what a process does with more of them than it admits.
	refused, unknown, closed int
}

// submitKept has clients submit a kept job each to an entry at the same time, with
// identifiers from first on. A job may be refused if its client is told when to try again,
// and its client may be told that it is unknown whether the job is kept.
func (s *instances) submitKept(entry *instanceProcess, clients, first int, body string) *keptCrowd {
	s.t.Helper()
	crowd := &keptCrowd{}
	var done sync.WaitGroup
	for i := range clients {
		done.Go(func() { crowd.submit(s, entry, fmt.Sprintf("%016x", first+i), body) })
	}
	done.Wait()
	s.t.Logf("%d accepted, %d refused, %d unknown, %d closed", len(crowd.accepted), crowd.refused, crowd.unknown, crowd.closed)
	must.SliceEmpty(s.t, crowd.broken, must.Sprint(crowd.broken))
	return crowd
}

func (c *keptCrowd) submit(s *instances, entry *instanceProcess, id, body string) {
	status, header, _ := s.request(entry, http.MethodPost, id, body)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case status == http.StatusOK:
		c.accepted = append(c.accepted, id)
	case header.Get("Retry-After") != "":
		c.refused++
	case status == http.StatusGatewayTimeout:
		c.unknown++
	case status == 0:
		c.closed++
	default:
		c.broken = append(c.broken, fmt.Sprintf("%s: %d", id, status))
	}
}

// request sends a request for a job on a connection of its own and returns the status, the
// header and the job's state; 0 if there is no answer.
func (s *instances) request(entry *instanceProcess, method, id, body string) (int, http.Header, string) {
	return s.requestWithin(crowdLimit, entry, method, id, body)
}

// requestWithin is request for a client that waits for limit.
func (s *instances) requestWithin(limit time.Duration, entry *instanceProcess, method, id, body string) (int, http.Header, string) {
	url := "http://" + entry.listeners["callersListen"] + instancesPrefix + id
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, nil, ""
	}
	request.Host, request.Close = instancesHost, true
	request.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	client := http.Client{Timeout: limit}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, ""
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct{ State string }
	raw, _ := io.ReadAll(response.Body)
	_ = json.Unmarshal(raw, &answer)
	return response.StatusCode, response.Header, answer.State
}

// checkWithin checks that the process is alive and has stayed within its machine.
func (w *memoryWatch) checkWithin(t *testing.T, machineMB int64) {
	t.Helper()
	peak, descriptors := w.peakBytes(t), w.process.descriptors(t)
	t.Logf("peak %d MB, %d descriptors", peak/megabyte, descriptors)
	must.True(t, w.process.alive())
	must.Less(t, machineMB*megabyte, peak)
	must.Less(t, machineDescriptors, descriptors)
}

// checkEach checks that holds is true for each job, for some jobs at the same time.
func (s *instances) checkEach(ids []string, holds func(id string) bool) {
	s.t.Helper()
	var checks errgroup.Group
	checks.SetLimit(checksAtOnce)
	for _, id := range ids {
		checks.Go(func() error {
			if !holds(id) {
				return fmt.Errorf("job %s", id)
			}
			return nil
		})
	}
	must.NoError(s.t, checks.Wait())
}

// checkKnown checks that the entry knows all the jobs.
func (s *instances) checkKnown(entry *instanceProcess, ids []string) {
	s.t.Helper()
	s.checkEach(ids, func(id string) bool {
		status, _, state := s.request(entry, http.MethodGet, id, "")
		return status == http.StatusOK && state != "failed" && state != "cancelled"
	})
}

// cancelAll cancels the jobs.
func (s *instances) cancelAll(entry *instanceProcess, ids []string) {
	s.t.Helper()
	s.checkEach(ids, func(id string) bool {
		cancelled := wait.InitialSuccess(wait.BoolFunc(func() bool {
			status, _, _ := s.request(entry, http.MethodDelete, id, "")
			return status == http.StatusOK
		}), wait.Timeout(readyLimit), wait.Gap(50*time.Millisecond))
		return cancelled.Run() == nil
	})
}

// startSuccessor starts one more entry, which is s.dispatcher from now on, and returns the
// one before.
func (s *instances) startSuccessor(extra map[string]any) *instanceProcess {
	s.t.Helper()
	takeProcesses(s.t, 1)
	before := s.dispatcher
	addresses := map[string]any{"name": "successor", "callersListen": freeAddress(s.t), "readyListen": freeAddress(s.t)}
	s.dispatcher = s.start("dispatcher", addresses, extra)
	s.awaitJob()
	return before
}

// smallEntry are the settings of the smallest machine of an entry.
func smallEntry() map[string]any {
	return map[string]any{"memoryMB": float64(smallEntryMB), "maxDescriptors": machineDescriptors}
}

// TestUncontrolledClientsKeptJobs guards against an entry that outgrows its machine on kept
// jobs, which it has to remember until they have run, and against one that the placement
// of jobs which no minion may run keeps from everything else.
func TestUncontrolledClientsKeptJobs(t *testing.T) {
	for _, tc := range []struct {
		name         string
		steps, tasks int
	}{
		{"many tasks", keptSteps, keptTasks}, {"one step", 1, keptSteps * keptTasks}, {"many steps", 1000, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := startInstances(t, legalBody, smallEntry())
			memory := watchMemory(t, s.dispatcher)
			var accepted []string
			for wave := range keptWaves {
				crowd := s.submitKept(s.dispatcher, keptClients, (wave+1)<<32, keptBody(tc.steps, tc.tasks, absentLabel))
				accepted = append(accepted, crowd.accepted...)
			}
			s.dispatcher.settle(t)
			memory.checkWithin(t, smallEntryMB)
			s.awaitJob()
			s.checkKnown(s.dispatcher, accepted)
			s.cancelAll(s.dispatcher, accepted)
			s.awaitJob()
			memory.checkWithin(t, smallEntryMB)
		})
	}
}

// TestUncontrolledClientsAdoptedJobs guards against kept jobs that end the entry that
// adopts them, or are lost because it has no room for them.
func TestUncontrolledClientsAdoptedJobs(t *testing.T) {
	s := startInstances(t, legalBody, smallEntry())
	lost := s.startSuccessor(smallEntry())
	memory := watchMemory(t, s.dispatcher)
	owed := s.submitKept(lost, ordinaryJobs, 1<<40, keptBody(1, 1, absentLabel))
	must.Len(t, ordinaryJobs, owed.accepted)
	var left []string
	for wave := range keptWaves {
		crowd := s.submitKept(lost, keptClients, (wave+1)<<41, keptBody(keptSteps, keptTasks, absentLabel))
		left = append(left, crowd.accepted...)
	}
	must.NoError(t, lost.command.Process.Kill())
	s.checkServesBeside(memory, left)
	own := s.submitKept(s.dispatcher, keptClients, 1<<50, keptBody(keptSteps, keptTasks, absentLabel))
	s.checkServesBeside(memory, left)

	s.cancelAll(s.dispatcher, own.accepted)
	s.cancelAll(s.dispatcher, left)
	s.reportLabel(absentLabel)
	for _, id := range owed.accepted {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
			_, _, state := s.request(s.dispatcher, http.MethodGet, id, "")
			return state == "completed"
		}), wait.Timeout(adoptionLimit), wait.Gap(200*time.Millisecond)))
	}
	memory.checkWithin(t, smallEntryMB)
}

// checkServesBeside checks that an entry stays within its machine while it adopts jobs of
// another one, and that the jobs are known and an ordinary request is answered.
func (s *instances) checkServesBeside(memory *memoryWatch, adopted []string) {
	s.t.Helper()
	time.Sleep(adoptionTime)
	memory.process.settle(s.t)
	memory.checkWithin(s.t, smallEntryMB)
	s.checkKnown(memory.process, adopted)
	s.awaitJob()
}

// adoptionTime is how long the entry is watched while it adopts jobs: longer than it takes
// the lease of the lost entry to lapse and the jobs to be found.
const adoptionTime = 15 * time.Second

// TestUncontrolledClientsRunningJobs guards against an entry and a sidecar that outgrow the
// smallest machines on kept jobs that run, are asked for and cancelled, and whose entry is
// lost while clients stop short of the end of their bodies at its successor.
func TestUncontrolledClientsRunningJobs(t *testing.T) {
	s := startInstances(t, crowdBody, smallSidecar())
	lost := s.startSuccessor(smallEntry())
	entry, sidecar := watchMemory(t, s.dispatcher), watchMemory(t, s.executor)
	left := s.submitKept(lost, keptClients, 1<<41, keptBody(keptSteps, keptTasks, ""))
	own := s.submitKept(s.dispatcher, keptClients, 1<<42, keptBody(keptSteps, keptTasks, ""))
	for i, id := range own.accepted {
		if i%completeShare == 0 {
			s.request(s.dispatcher, http.MethodDelete, id, "")
		}
	}
	must.NoError(t, lost.command.Process.Kill())
	newCrowd(t).sendWaves(s.dispatcher.listeners["callersListen"], instancesPrefix, keptBody(keptSteps, keptTasks, ""), crowdBody)
	time.Sleep(adoptionTime)
	entry.checkWithin(t, smallEntryMB)
	sidecar.checkWithin(t, smallSidecarMB)
	s.checkEach(slices.Concat(left.accepted, own.accepted), func(id string) bool {
		status, _, _ := s.request(s.dispatcher, http.MethodGet, id, "")
		return status == http.StatusOK
	})
	must.Positive(t, s.submit())
	entry.checkWithin(t, smallEntryMB)
	sidecar.checkWithin(t, smallSidecarMB)
}
