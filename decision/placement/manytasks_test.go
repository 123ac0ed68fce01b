package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// TestPendingTasksOfRequestCountTogether guards against a wait that depends on whether the
// tasks of a request are counted together or one by one.
func TestPendingTasksOfRequestCountTogether(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		together := Candidate{State: session.State{
			Minion:   session.Minion{Capacity: work.Resources{MilliCPU: 8000}},
			Free:     work.Resources{MilliCPU: random.Int64N(9000) - 500},
			Turnover: time.Second,
		}}
		single := together
		for number := range uint64(3) {
			task := Task{Need: work.Resources{MilliCPU: random.Int64N(3000)}, Slack: time.Duration(random.IntN(4)) * time.Second}
			for range random.IntN(5) {
				together.AddPending(number, &task)
				single.pending = append(single.pending, pendingStart{number, single.State.Minion.Occupied(task.Need), 1, task.QueueSlack(), 0, 0})
			}
		}
		must.LessEq(t, 3, len(together.pending))
		need, slack := work.Resources{MilliCPU: random.Int64N(5000)}, time.Duration(random.IntN(4))*time.Second
		must.EqOp(t, single.expectedWait(need, slack), together.expectedWait(need, slack))
		must.EqOp(t, single.freeAfterPending(), together.freeAfterPending())
	}
}

// TestFullSidecarGetsNoTask guards against a sidecar that gets more tasks than it can have,
// since each of them needs next to nothing.
func TestFullSidecarGetsNoTask(t *testing.T) {
	chooser := Chooser{Zone: "a", Evacuated: func(string) bool { return false }, Random: rand.New(rand.NewPCG(1, 2))}
	candidate := &Candidate{Name: "s", Zone: "a", State: session.State{
		Accepting: true, Turnover: time.Millisecond,
		Minion: session.Minion{Service: "desk", Capacity: work.Resources{MilliCPU: 8000}}, Free: work.Resources{MilliCPU: 8000},
	}}
	chosen := 0
	for ; chosen < 2*maxTasks; chosen++ {
		task := Task{Service: "desk", Slack: time.Hour, MaxWait: time.Hour}
		choice, ok := chooser.Choose([]*Candidate{candidate}, task, nil)
		if !ok {
			must.True(t, choice.Full)
			break
		}
		candidate.AddPending(1, &task)
		candidate.Tasks++
	}
	must.EqOp(t, maxTasks, chosen)
	must.Positive(t, candidate.expectedWait(work.Resources{}, time.Hour))
}
