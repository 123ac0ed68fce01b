package jobstate

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/figring/figring/model"
)

var (
	testStart    = time.Unix(1_800_000_000, 0)
	testDeadline = testStart.Add(time.Minute)
	testKey      = model.JobKey{Caller: "verbund", ID: uuid.UUID{6: 0x70, 8: 0x80, 15: 1}}
	otherKey     = model.JobKey{Caller: "verbund", ID: uuid.UUID{6: 0x70, 8: 0x80, 15: 2}}
)

const testAttempts = 4

func newJob(tasks int) *Job {
	return New(Config{Key: testKey, Tasks: tasks, Deadline: testDeadline, MaxAttempts: testAttempts})
}

func ref(index int) model.TaskRef {
	return model.TaskRef{Key: testKey, Index: index}
}

func result(index, status int) model.TaskResult {
	body := []byte{byte(index)}
	return model.TaskResult{Index: index, Status: status, Body: body, Digest: xxhash.Sum64(body)}
}

func badResult(index int) model.TaskResult {
	bad := result(index, 200)
	bad.Digest++
	return bad
}

// finishOf returns the answer of the Finish among the actions, or nil if there is
// none.
func finishOf(actions []Action) *model.Answer {
	for _, action := range actions {
		if finish, ok := action.(Finish); ok {
			return &finish.Answer
		}
	}
	return nil
}
