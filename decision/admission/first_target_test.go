package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestBacklogBeforeFirstTarget dequeues tasks that had to wait for the first target
// to join. If the time without a target entered the measured rate, the targets
// would seem slow and the second job would be refused.
func TestBacklogBeforeFirstTarget(t *testing.T) {
	q := NewQueue()
	must.Nil(t, submit(q, "desk", 1, 40, testStart))
	now := testStart.Add(2 * time.Second)
	q.SetCapacity(Capacity{Targets: 3, TasksPerSecond: 200})
	for range 5 {
		_, ok := q.Next(now)
		must.True(t, ok)
	}
	second := spec("desk", 2, 40)
	second.Timeout = 5 * time.Second
	refusal := q.Admit(second, now)
	must.Nil(t, refusal)
}
