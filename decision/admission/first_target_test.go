package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestBacklogBeforeFirstTarget lets tasks wait for the first target: the time
// in which none could be taken doesn't count as a slow target.
func TestBacklogBeforeFirstTarget(t *testing.T) {
	q := NewQueue()
	must.Nil(t, submit(q, "desk", 1, 40, testStart))
	now := testStart.Add(2 * time.Second)
	q.SetCapacity(Capacity{Targets: 3, TasksPerSecond: 200})
	for range 5 {
		_, ok := q.Next(now)
		must.True(t, ok)
	}
	one := spec("desk", 2, 40)
	one.Timeout = 5 * time.Second
	refusal := q.Admit(one, now)
	must.Nil(t, refusal)
}
