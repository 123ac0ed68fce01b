package instance

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/figring/figring/decision/joblease"
	"github.com/figring/figring/platform/standin"
)

// keptJob is the body of a job that has to be stored.
func keptJob(tasks, cpu int, work time.Duration) map[string]any {
	body := job(tasks, cpu, work)
	delete(body, "best_effort")
	return body
}

func keptID(i int) string { return fmt.Sprintf("%016x", 0xa000+i) }

// state asks an entry for the state of a job.
func (s *system) state(entry *process, id string) string {
	answer := s.call(entry, http.MethodGet, testPrefix+id, nil)
	if answer.status != http.StatusOK {
		return fmt.Sprint(answer.status)
	}
	return answer.state
}

// awaitState waits until an entry shows a job in the state.
func (s *system) awaitState(entry *process, id, state string, within time.Duration) {
	s.t.Helper()
	seen := ""
	defer func() {
		if seen != state {
			s.t.Logf("%s is %s at %s", id, seen, entry.name)
		}
	}()
	must.Wait(s.t, wait.InitialSuccess(
		wait.BoolFunc(func() bool { seen = s.state(entry, id); return seen == state }),
		wait.Timeout(within), wait.Gap(20*time.Millisecond),
	))
}

// pending asks an entry for the jobs that have not begun.
func (s *system) pending(entry *process) int {
	response, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s", entry.ip, s.port+2, testPrefix), nil)
	must.NoError(s.t, err)
	response.Host = testHost
	answered, err := http.DefaultClient.Do(response)
	must.NoError(s.t, err)
	defer func() { _ = answered.Body.Close() }()
	var told struct {
		Pending int `json:"pending"`
	}
	must.NoError(s.t, json.NewDecoder(answered.Body).Decode(&told))
	return told.Pending
}

// doneRuns counts the runs of each task that have ended done.
func (s *system) doneRuns() map[string]int {
	done := make(map[string]int)
	for _, entry := range s.ledger.Entries() {
		if entry.Outcome == "done" {
			done[entry.Task]++
		}
	}
	return done
}

// checkKept fails for tasks that were done twice, or at work twice at one time.
func (s *system) checkKept() {
	s.t.Helper()
	must.Len(s.t, 0, s.ledger.Overlaps())
	for task, count := range s.doneRuns() {
		if count > 1 {
			s.t.Errorf("%s was done %d times", task, count)
		}
	}
}

// TestKeptJobs covers accepted jobs: they are answered before they have ended,
// run, and can be asked for at every entry.
func TestKeptJobs(t *testing.T) {
	s := newSystem(t, 3, 2)
	const jobs = 40
	var wait sync.WaitGroup
	for i := range jobs {
		wait.Go(func() {
			must.EqOp(t, http.StatusOK, s.submit(s.entries[i%2], keptID(i), keptJob(3, 300, 50*time.Millisecond)).status)
		})
	}
	wait.Wait()
	for i := range jobs {
		s.awaitState(s.entries[0], keptID(i), "completed", 10*time.Second)
		s.awaitState(s.entries[1], keptID(i), "completed", time.Second)
	}
	must.EqOp(t, 3*jobs, len(s.doneRuns()))
	s.checkKept()
	must.EqOp(t, "410", s.state(s.entries[0], keptID(jobs)))
	// It remains one job, also after its end and at another entry.
	for _, entry := range s.entries {
		must.EqOp(t, http.StatusOK, s.submit(entry, keptID(0), keptJob(3, 300, 50*time.Millisecond)).status)
	}
	must.EqOp(t, 3*jobs, len(s.doneRuns()))
}

// TestKeptJobsWaitForRoom covers more work than there is room for: nothing is
// refused, what waits is pending at every entry, and all of it ends.
func TestKeptJobsWaitForRoom(t *testing.T) {
	s := newSystem(t, 2, 2)
	const jobs = 48
	for i := range jobs {
		must.EqOp(t, http.StatusOK, s.submit(s.entries[0], keptID(i), keptJob(2, 4000, 200*time.Millisecond)).status)
	}
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool { return s.pending(s.entries[1]) > jobs/4 }),
		wait.Timeout(2*time.Second), wait.Gap(20*time.Millisecond),
	))
	for i := range jobs {
		s.awaitState(s.entries[1], keptID(i), "completed", 20*time.Second)
	}
	must.EqOp(t, 0, s.pending(s.entries[0]))
	s.checkKept()
}

// TestKeptJobIsCancelled covers cancels at the owner and at another entry: what
// runs is stopped, and nothing of the job starts later.
func TestKeptJobIsCancelled(t *testing.T) {
	s := newSystem(t, 2, 2)
	for i, entry := range s.entries {
		id := keptID(i)
		must.EqOp(t, http.StatusOK, s.submit(s.entries[0], id, keptJob(4, 4000, 10*time.Second)).status)
		s.awaitState(s.entries[0], id, "running", 2*time.Second)
		must.EqOp(t, http.StatusOK, s.call(entry, http.MethodDelete, testPrefix+id, nil).status)
		for _, asked := range s.entries {
			s.awaitState(asked, id, "cancelled", time.Second)
		}
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return s.atWork(id) == 0 }), wait.Timeout(2*time.Second), wait.Gap(20*time.Millisecond)))
		starts := s.starts(id)
		time.Sleep(300 * time.Millisecond)
		must.EqOp(t, starts, s.starts(id))
	}
}

// atWork counts the runs of a job that have not ended.
func (s *system) atWork(id string) int {
	count := 0
	for _, entry := range s.ledger.Entries() {
		if entry.Task[:len(id)] == id && entry.Ended.IsZero() {
			count++
		}
	}
	return count
}

// TestKeptJobFails covers a task that fails as often as its route allows.
func TestKeptJobFails(t *testing.T) {
	s := newSystem(t, 2, 2)
	body := keptJob(1, 100, 0)
	spec, err := json.Marshal(standin.Spec{WorkMillis: 20, Fail: true})
	must.NoError(t, err)
	body["spec"] = string(spec)
	must.EqOp(t, http.StatusOK, s.submit(s.entries[0], keptID(0), body).status)
	s.awaitState(s.entries[1], keptID(0), "failed", 5*time.Second)
	must.EqOp(t, 2, s.starts(keptID(0)))
}

// leaveWait is how long other entries may take to notice that one has ended in
// order: less than the time after which a row expires.
const leaveWait = joblease.TakeoverAfter - time.Second

// TestKeptJobsAreTakenOver covers an entry that ends while its jobs run: another
// one runs them to their end, and no task is done twice.
func TestKeptJobsAreTakenOver(t *testing.T) {
	s := newSystem(t, 3, 3)
	const jobs = 60
	for i := range jobs {
		must.EqOp(t, http.StatusOK, s.submit(s.entries[0], keptID(i), keptJob(2, 4000, 500*time.Millisecond)).status)
	}
	s.entries[0].stop(t)
	ended := time.Now()
	// Jobs that have no owner for a moment wait as well.
	waited := s.pending(s.entries[1])
	must.Greater(t, jobs/4, waited)
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool { return strings.Contains(s.logs.String(), "jobs of "+s.entries[0].name) }),
		wait.Timeout(leaveWait), wait.Gap(20*time.Millisecond),
	))
	t.Logf("taken over %s after the end", time.Since(ended))
	for i := range jobs {
		s.awaitState(s.entries[1+i%2], keptID(i), "completed", 30*time.Second)
	}
	s.checkKept()
}

// TestStoreOutRefusesKeptJobs covers the table away: new jobs are refused at
// once, accepted ones end once it is back, and the state is not made up.
func TestStoreOutRefusesKeptJobs(t *testing.T) {
	s := newSystem(t, 2, 1)
	must.EqOp(t, http.StatusOK, s.submit(s.entries[0], keptID(0), keptJob(1, 100, 300*time.Millisecond)).status)
	s.awaitState(s.entries[0], keptID(0), "running", 2*time.Second)
	s.table.SetUnavailable(true)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		refused := s.submit(s.entries[0], fmt.Sprintf("%016x", time.Now().UnixNano()), keptJob(1, 100, 0))
		return refused.status == http.StatusServiceUnavailable && refused.took < 200*time.Millisecond && refused.retryAfter != ""
	}), wait.Timeout(5*time.Second), wait.Gap(50*time.Millisecond)))
	must.EqOp(t, "503", s.state(s.entries[0], "00000000000000ff"))
	must.EqOp(t, "running", s.state(s.entries[0], keptID(0)))
	s.table.SetUnavailable(false)
	s.awaitState(s.entries[0], keptID(0), "completed", 5*time.Second)
	s.checkKept()
}

// TestLostAnswersOfTheStore covers writes that are done and not answered.
func TestLostAnswersOfTheStore(t *testing.T) {
	s := newSystem(t, 2, 2)
	for i := range 6 {
		if i%2 == 1 {
			s.table.SetDropReplies(true)
			time.AfterFunc(300*time.Millisecond, func() { s.table.SetDropReplies(false) })
		}
		must.EqOp(t, http.StatusOK, s.submit(s.entries[i%2], keptID(i), keptJob(2, 100, 50*time.Millisecond)).status)
	}
	for i := range 6 {
		s.awaitState(s.entries[0], keptID(i), "completed", 10*time.Second)
	}
	s.checkKept()
}

// TestStepsAndLabels covers a job of two steps whose tasks may run on one minion
// only, and at most two tasks of the second on it.
func TestStepsAndLabels(t *testing.T) {
	s := newSystem(t, 3, 2)
	body := keptJob(4, 500, 60*time.Millisecond)
	first := body["steps"].([]map[string]any)[0]
	first["required_label"] = "rack-1"
	second := map[string]any{"count": 6, "cpu": 100, "mem_mb": 10, "est_ms": 60, "after": []int{0}, "max_per_server": 2}
	body["steps"] = []map[string]any{first, second}
	must.EqOp(t, http.StatusOK, s.submit(s.entries[0], keptID(0), body).status)
	s.awaitState(s.entries[1], keptID(0), "completed", 10*time.Second)
	var firstEnded time.Time
	onMinion := make(map[string]int)
	for _, entry := range s.ledger.Entries() {
		if strings.HasPrefix(entry.Task, keptID(0)+".0.0.") {
			must.EqOp(t, "i-1", entry.Minion)
			firstEnded = later(firstEnded, entry.Ended)
			continue
		}
		must.False(t, entry.Started.Before(firstEnded))
		onMinion[entry.Minion]++
	}
	must.MapEq(t, map[string]int{"i-0": 2, "i-1": 2, "i-2": 2}, onMinion)
	s.checkKept()
}

func later(one, other time.Time) time.Time {
	if other.After(one) {
		return other
	}
	return one
}

// TestWritesAreShared covers many jobs at a time: writes are grouped over jobs,
// and none is made for each task.
func TestWritesAreShared(t *testing.T) {
	s := newSystem(t, 4, 2)
	const jobs, tasks = 150, 4
	before := s.table.Transactions(jobsTable)
	var wait sync.WaitGroup
	for i := range jobs {
		wait.Go(func() {
			must.EqOp(t, http.StatusOK, s.submit(s.entries[i%2], keptID(i), keptJob(tasks, 50, 20*time.Millisecond)).status)
		})
	}
	wait.Wait()
	for i := range jobs {
		s.awaitState(s.entries[0], keptID(i), "completed", 20*time.Second)
	}
	writes := float64(s.table.Transactions(jobsTable)-before) / jobs
	t.Logf("%.2f transactions a job of %d tasks", writes, tasks)
	// An acceptance and an end alone are two.
	must.Less(t, 2.0, writes)
	s.checkKept()
}
