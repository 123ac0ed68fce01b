package heldjob

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/work"
)

// storedJobOf returns a stored job whose tasks no minion may run.
func storedJobOf(id string, steps, tasks int) StoredJob {
	job := work.Job{ID: work.JobID(id), Spec: "s"}
	for range steps {
		job.Steps = append(job.Steps, work.Step{Count: tasks, Label: "absent"})
	}
	return StoredJob{Job: job, Route: manifest.Route{Name: "r", Service: "desk", Attempts: 2}, Accepted: time.Now()}
}

// TestJobMemoryCoversStoredJobs guards against stored jobs that take more memory than they
// count for.
func TestJobMemoryCoversStoredJobs(t *testing.T) {
	for _, tc := range []struct{ steps, tasks int }{{1, 1}, {1, 4096}, {40, 100}, {1000, 4}} {
		t.Run(fmt.Sprintf("%d steps of %d", tc.steps, tc.tasks), func(t *testing.T) {
			f := newFixture(t, 1)
			const jobs = 200
			before := heapBytes()
			for i := range jobs {
				f.core.AddStoredJob(f.now, storedJobOf(fmt.Sprintf("%016x", i), tc.steps, tc.tasks))
			}
			taken := heapBytes() - before
			must.LessEq(t, f.core.JobMemory(), taken)
			runtime.KeepAlive(f)
		})
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestJobMemoryIsReleased guards against memory that stays counted, so that an entry
// refuses jobs for good.
func TestJobMemoryIsReleased(t *testing.T) {
	f := newFixture(t, 1)
	f.core.OwnUntil(f.now, f.now.Add(time.Hour))
	for name, end := range map[string]func(work.JobID){
		"disowned":     f.core.Disown,
		"cancelled":    func(id work.JobID) { f.core.CancelStored(id, 1); f.core.Saved(id, true) },
		"added twice":  func(id work.JobID) { f.core.AddStoredJob(f.now, storedJobOf(string(id), 1, 1)); f.core.Disown(id) },
		"not adopted":  func(id work.JobID) { f.core.Disown(id); f.core.ReleaseStored(id) },
		"known before": func(id work.JobID) { reserveAgain(f, id); f.core.Disown(id) },
	} {
		t.Run(name, func(t *testing.T) {
			stored := storedJobOf("j", 2, 3)
			must.True(t, f.core.ReserveStored(stored.Job.ID, MemoryOf(&stored.Job)))
			f.core.AddStoredJob(f.now, stored)
			must.EqOp(t, MemoryOf(&stored.Job), f.core.JobMemory())
			must.EqOp(t, len(stored.Job.Steps), f.core.blockedSteps)
			end(stored.Job.ID)
			must.Zero(t, f.core.JobMemory())
			must.Zero(t, f.core.blockedSteps)
			must.MapEmpty(t, f.core.memory.reserved)
		})
	}
}

func reserveAgain(f *fixture, id work.JobID) {
	stored := storedJobOf(string(id), 2, 3)
	f.core.ReserveStored(stored.Job.ID, MemoryOf(&stored.Job))
	f.core.AddStoredJob(f.now, stored)
}

// TestLargeJobsLeaveMemory guards against jobs of many steps that take all the memory, so
// that ordinary ones are refused.
func TestLargeJobsLeaveMemory(t *testing.T) {
	large, small := MemoryOf(&work.Job{Steps: make([]work.Step, 500)}), MemoryOf(&work.Job{Steps: make([]work.Step, 1)})
	memory := jobMemory{limit: 16 << 20}
	must.True(t, memory.fitsNew(large))
	for memory.fitsNew(large) {
		memory.own += large
	}
	must.Greater(t, memory.limit/2, memory.own)
	must.Less(t, memory.limit-100*small, memory.own)
	must.True(t, memory.fitsNew(small))
	for memory.fitsNew(small) {
		memory.own += small
	}
	must.LessEq(t, memory.limit-memory.limit/4, memory.own)
	must.True(t, memory.fitsAdopted(large))
}

// TestAdoptedJobsLeaveMemory guards against jobs of a lost entry that keep new ones out, or
// take more than there is.
func TestAdoptedJobsLeaveMemory(t *testing.T) {
	large, small := MemoryOf(&work.Job{Steps: make([]work.Step, 500)}), MemoryOf(&work.Job{Steps: make([]work.Step, 1)})
	memory := jobMemory{limit: 16 << 20}
	for _, size := range []int64{large, small} {
		for memory.fitsAdopted(size) {
			memory.adopted += size
		}
		must.LessEq(t, memory.limit, memory.used())
		must.True(t, memory.fitsNew(small))
	}
}

// TestLargestJobFitsInCalm guards against a limit that refuses a job that the pages allow.
func TestLargestJobFitsInCalm(t *testing.T) {
	const storableBytes = 600 << 10
	job := work.Job{Spec: string(make([]byte, storableBytes)), Steps: make([]work.Step, work.MaxTasks)}
	memory := jobMemory{limit: 8 << 20}
	must.True(t, memory.fitsNew(MemoryOf(&job)))
	must.True(t, memory.fitsAdopted(MemoryOf(&job)))
}

// TestBlockedStepsAreTriedLessOften guards against jobs that no minion may run and that take
// all of the entry's time.
func TestBlockedStepsAreTriedLessOften(t *testing.T) {
	f := newFixture(t, 1)
	must.EqOp(t, noMinionRetryInterval, f.core.noMinionRetry())
	f.core.blockedSteps = 10_000
	must.EqOp(t, 10_000*blockedStepInterval, f.core.noMinionRetry())
}

// TestWaitingBestEffortJobsAreBounded guards against best-effort jobs that fill the memory
// while an entry that has just started meets its sidecars.
func TestWaitingBestEffortJobsAreBounded(t *testing.T) {
	f := newFixture(t, 0)
	f.core.SetJobMemory(8 << 20)
	refused := 0
	for i := range 20 {
		waiter := f.submit(fmt.Sprint(i), work.MaxTasks)
		if answer, ok := f.replies[waiter]; ok {
			must.EqOp(t, Answer{Outcome: Refused, Reason: ReasonJobMemory, RetryAfter: minRetryAfter}, answer)
			refused++
		}
	}
	must.Between(t, 10, refused, 19)
	must.LessEq(t, 8<<20, f.core.JobMemory())
	f.core.GiveUpAll(ReasonDraining)
	must.Zero(t, f.core.JobMemory())
}
