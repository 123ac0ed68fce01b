package admission

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
)

// TestRepeatIsChargedAgain puts a task in once more: it is given out once, and
// its caller's share is used twice, unlike that of a task put back.
func TestRepeatIsChargedAgain(t *testing.T) {
	next := func(q *Queue) string {
		ref, ok := q.Next(testStart)
		must.True(t, ok)
		return ref.Key.Caller
	}
	prepared := func() (*Queue, model.TaskRef) {
		q := NewQueue()
		must.Nil(t, submit(q, "a", 1, 1, testStart))
		must.Nil(t, submit(q, "b", 2, 2, testStart))
		ref, _ := q.Next(testStart)
		must.EqOp(t, "a", ref.Key.Caller)
		return q, ref
	}

	repeated, ref := prepared()
	repeated.EnqueueRetry(ref, testStart)
	must.EqOp(t, 3, repeated.Waiting())
	must.EqOp(t, "b", next(repeated))

	back, ref := prepared()
	back.Requeue(ref, testStart)
	must.EqOp(t, 3, back.Waiting())
	must.EqOp(t, "a", next(back))
}

func TestRepeatOfForgottenJob(t *testing.T) {
	q := NewQueue()
	must.Nil(t, submit(q, "a", 1, 1, testStart))
	ref, _ := q.Next(testStart)
	q.Remove(ref.Key, testStart)
	q.EnqueueRetry(ref, testStart)
	must.EqOp(t, 0, q.Waiting())
	_, ok := q.Peek()
	must.False(t, ok)
}
