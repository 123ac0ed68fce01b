package admission

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
)

// TestRetryIsChargedAgain checks that a retried task is charged to its caller a
// second time, so that the other caller is served first, and that a requeued task
// is not.
func TestRetryIsChargedAgain(t *testing.T) {
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

	retried, ref := prepared()
	retried.EnqueueRetry(ref, testStart)
	must.EqOp(t, 3, retried.Waiting())
	must.EqOp(t, "b", next(retried))

	requeued, ref := prepared()
	requeued.Requeue(ref, testStart)
	must.EqOp(t, 3, requeued.Waiting())
	must.EqOp(t, "a", next(requeued))
}

func TestRetryOfRemovedJobIsIgnored(t *testing.T) {
	q := NewQueue()
	must.Nil(t, submit(q, "a", 1, 1, testStart))
	ref, _ := q.Next(testStart)
	q.Remove(ref.Key, testStart)
	q.EnqueueRetry(ref, testStart)
	must.EqOp(t, 0, q.Waiting())
	_, ok := q.Peek()
	must.False(t, ok)
}
