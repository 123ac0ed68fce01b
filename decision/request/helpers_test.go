package request

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/figring/figring/decision/jobstate"
	"github.com/figring/figring/model"
)

var (
	testStart    = time.Unix(1_800_000_000, 0)
	testDeadline = testStart.Add(time.Minute)
	testKey      = model.JobKey{Caller: "verbund", ID: uuid.UUID{6: 0x70, 8: 0x80, 15: 1}}
	testRef      = model.TaskRef{Key: testKey}
	otherRef     = model.TaskRef{Key: model.JobKey{Caller: "verbund", ID: uuid.UUID{6: 0x70, 8: 0x80, 15: 2}}}
)

const (
	testAttempts = 6
	testRuns     = 3
)

// fixedBudget allows a fixed number of retries and hedges.
type fixedBudget struct{ left int }

func (b *fixedBudget) Retry(time.Time) bool {
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

func newRequest(budget int) *Request {
	return New(Config{
		Key: testKey, Deadline: testDeadline, MaxAttempts: testAttempts, MaxRuns: testRuns,
		Budget: &fixedBudget{left: budget},
	})
}

// result returns the result of the given attempt. Its body identifies the
// attempt.
func result(attempt, status int) model.TaskResult {
	body := []byte{byte(attempt)}
	return model.TaskResult{Status: status, Body: body, Digest: xxhash.Sum64(body)}
}

func done(attempt, status int) jobstate.Done {
	return jobstate.Done{Ref: testRef, Attempt: attempt, Result: result(attempt, status)}
}

func truncated(attempt int) jobstate.Done {
	event := done(attempt, 200)
	event.Result.Body = nil
	return event
}

func unknown(attempt int) jobstate.Unknown {
	return jobstate.Unknown{Ref: testRef, Attempt: attempt}
}

func handedBack(attempt int) jobstate.HandedBack {
	return jobstate.HandedBack{Ref: testRef, Attempt: attempt, Reason: "queue_full"}
}

// finishOf returns the answer among actions, or nil.
func finishOf(actions []jobstate.Action) *model.Answer {
	for _, action := range actions {
		if finish, ok := action.(jobstate.Finish); ok {
			return &finish.Answer
		}
	}
	return nil
}

func hasDispatch(actions []jobstate.Action) bool {
	for _, action := range actions {
		if _, ok := action.(jobstate.Dispatch); ok {
			return true
		}
	}
	return false
}
