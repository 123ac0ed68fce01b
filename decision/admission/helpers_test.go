package admission

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"github.com/figring/figring/model"
)

var testStart = time.Unix(1_800_000_000, 0)

func testKey(caller string, number int) model.JobKey {
	id := uuid.UUID{6: 0x70, 8: 0x80}
	binary.BigEndian.PutUint32(id[12:], uint32(number))
	return model.JobKey{Caller: caller, ID: id}
}

func spec(caller string, number, tasks int) model.JobSpec {
	return model.JobSpec{Key: testKey(caller, number), Tasks: make([]model.TaskSpec, tasks), Timeout: time.Minute}
}

func firstIndexes(count int) []int {
	list := make([]int, count)
	for i := range list {
		list[i] = i
	}
	return list
}

// submit admits a job and enqueues its tasks.
func submit(q *Queue, caller string, number, tasks int, now time.Time) *model.Refusal {
	job := spec(caller, number, tasks)
	if refusal := q.Admit(job, now); refusal != nil {
		return refusal
	}
	q.Enqueue(job.Key, firstIndexes(tasks), now)
	return nil
}

func bundle(limits model.Limits, callers ...model.Caller) model.Bundle {
	return model.Bundle{Callers: callers, Limits: limits}
}

// specWithRunTimes returns a job of caller a whose tasks declare the given run
// times.
func specWithRunTimes(number int, runs ...time.Duration) model.JobSpec {
	job := spec("a", number, len(runs))
	for i, run := range runs {
		job.Tasks[i].DeclaredRun = run
	}
	return job
}

// recordDurations records the same duration for as many tasks of a job of caller a
// as an estimate needs.
func recordDurations(queue *Queue, number int, run time.Duration) {
	for range durationsPerRefresh {
		queue.RecordTaskDuration(testKey("a", number), run, testStart)
	}
}
