package e2e

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/api"
	"github.com/figring/figring/model"
)

// TestWorkerKilledInMidJob kills a worker's minion and sidecar under load, and
// brings the worker back: no job is answered with a part of its results.
func TestWorkerKilledInMidJob(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 2, minions: 3})
	caller := newCaller(c)
	running := caller.startLoad(loadShape{callers: 8, tasks: 12, runMs: 100, pick: c.everyEntry()})
	c.await("answered jobs", func() bool { return complete(running.finals()) > 10 })
	c.minions[0].kill()
	time.Sleep(500 * time.Millisecond)
	c.sidecars[1].kill()
	time.Sleep(500 * time.Millisecond)
	c.sidecars[1] = c.startSidecar(1)
	c.minions[0] = c.startMinion(0)
	c.awaitReadyTargets(3)
	before := complete(running.finals())
	c.await("jobs after the faults", func() bool { return complete(running.finals()) > before+10 })
	final := running.stop()
	failed := len(final) - complete(final)
	t.Logf("jobs: %d, failed: %d", len(final), failed)
	must.Positive(t, failed, must.Sprint("the kills struck no job"))
	caller.judge()
}

// TestOneTaskTooLate gives a job less time than one of its tasks needs: it
// fails as a whole, without the results of the others.
func TestOneTaskTooLate(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 1, minions: 1})
	caller := newCaller(c)
	job := caller.newJob(6, 10)
	job.Tasks[3].Payload = payloadOf(job.Key, 3, 2500)
	job.TimeoutMs = 800
	for range 2 {
		answer, err := caller.submit(t.Context(), c.entries[0], job)
		must.Nil(t, answer)
		told := problemIn(err)
		must.NotNil(t, told, must.Sprint(err))
		// The deadline at the entry and the one at the sidecar are the same
		// moment: either may be noticed first.
		must.SliceContains(t, []model.Code{model.CodeDeadline, model.CodeTaskUnknown}, told.Code)
		must.NotEq(t, model.NotRun, told.Outcome)
		// The second submission comes once the late result could be there.
		time.Sleep(2 * time.Second)
	}
	must.Len(t, 6, c.starts())
	caller.judge()
}

// TestCancelRacesWithCompletion cancels jobs at about the time of their end, at
// another entry than theirs: each has one end, whoever asks.
func TestCancelRacesWithCompletion(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 2, minions: 2})
	caller := newCaller(c)
	var wait sync.WaitGroup
	var mu sync.Mutex
	ends := make(map[api.JobState]int)
	for round := range 60 {
		job := caller.newJob(3, 40)
		wait.Go(func() { _, _ = caller.submit(t.Context(), c.entries[0], job) })
		time.Sleep(time.Duration(35+round%25) * time.Millisecond)
		wait.Go(func() {
			asked := time.Now()
			cancelled, cancelErr := caller.at(c.entries[1]).Cancel(t.Context(), job.Key)
			again, againErr := caller.submit(t.Context(), c.entries[1], job)
			if told := problemIn(cancelErr); told != nil && told.Code == model.CodeNotFound {
				// The cancellation overtook the submission, if it is true.
				must.SliceEmpty(t, startsBefore(c.startsOfKey(job.Key), asked))
				return
			}
			if (cancelErr == nil) != (againErr == nil) {
				t.Errorf("%s: the cancellation was answered %v and the resubmission %v", job.Key, cancelErr, againErr)
			}
			if cancelErr == nil && againErr == nil {
				must.Eq(t, cancelled, again)
			}
			mu.Lock()
			defer mu.Unlock()
			if againErr == nil {
				ends[again.State]++
			} else {
				ends[api.JobFailed]++
			}
		})
	}
	wait.Wait()
	t.Logf("ends: %v", ends)
	must.Positive(t, ends[api.JobComplete])
	must.Positive(t, ends[api.JobFailed])
	caller.judge()
}

// TestCancelOfHandedOverJob starts a second entry while jobs run at the first:
// it gets half of the partitions, and cancels jobs that the first one claimed.
func TestCancelOfHandedOverJob(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 1, spareEntries: 1, minions: 2})
	caller := newCaller(c)
	var keys []string
	for range 8 {
		job := caller.newJob(2, 8000)
		keys = append(keys, job.Key)
		go func() { _, _ = caller.submit(t.Context(), c.entries[0], job) }()
	}
	c.await("every start", func() bool { return len(c.starts()) == 16 })
	second := c.startEntry(1, nil)
	c.mu.Lock()
	c.entries = append(c.entries, second)
	c.mu.Unlock()
	c.await("the handover", func() bool {
		status, err := c.status(1)
		return err == nil && status.Partitions == partitionCount/2
	})
	for _, key := range keys {
		_, err := caller.at(second).Cancel(t.Context(), key)
		told := problemIn(err)
		must.NotNil(t, told, must.Sprint(err))
		must.EqOp(t, model.CodeCancelled, told.Code, must.Sprint(told))
		must.NotEq(t, model.NotRun, told.Outcome)
	}
}
