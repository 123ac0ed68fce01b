package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figring/figring/model"
)

// TestFairnessBound checks the theorem of start-time fair queueing: while two
// callers both have ready tasks, their normalised service over any interval
// differs by at most 1/weight of each.
func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weightA := rapid.IntRange(1, 9).Draw(t, "weightA")
		weightB := rapid.IntRange(1, 9).Draw(t, "weightB")
		queue := NewQueue()
		queue.ApplyBundle(bundle(model.Limits{},
			model.Caller{Name: "a", Weight: weightA}, model.Caller{Name: "b", Weight: weightB}), 1, testStart)
		number := 0
		more := func(caller string) {
			number++
			submit(queue, caller, number, rapid.IntRange(1, 40).Draw(t, "tasks"), testStart)
		}
		difference, least, most := 0.0, 0.0, 0.0
		for range 200 {
			for _, name := range []string{"a", "b", "c"} {
				if queue.CallerWaiting(name) == 0 && (name != "c" || rapid.Bool().Draw(t, "third")) {
					more(name)
				}
			}
			ref, _ := queue.Next(testStart)
			switch ref.Key.Caller {
			case "a":
				difference += 1 / float64(weightA)
			case "b":
				difference -= 1 / float64(weightB)
			}
			least, most = min(least, difference), max(most, difference)
		}
		if bound := 1/float64(weightA) + 1/float64(weightB); most-least > bound+1e-9 {
			t.Fatalf("service differs by %f, bound %f", most-least, bound)
		}
	})
}

// state is what a queue must hold after random operations.
type state struct {
	queue *Queue
	// waiting holds for each job the indexes not given out.
	waiting map[model.JobKey]map[int]bool
	out     []model.TaskRef
	now     time.Time
}

func (s *state) total() int {
	total := 0
	for _, tasks := range s.waiting {
		total += len(tasks)
	}
	return total
}

func (s *state) submit(t *rapid.T, number, bound int) {
	caller := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller")
	tasks := rapid.IntRange(1, 30).Draw(t, "tasks")
	before := s.total()
	refusal := submit(s.queue, caller, number, tasks, s.now)
	if refusal != nil {
		if refusal.Outcome != model.NotRun || refusal.RetryAfter <= 0 {
			t.Fatalf("refusal %+v", refusal)
		}
		return
	}
	if before+tasks > bound {
		t.Fatalf("%d tasks admitted to %d of %d", tasks, before, bound)
	}
	s.waiting[testKey(caller, number)] = make(map[int]bool)
	for i := range tasks {
		s.waiting[testKey(caller, number)][i] = true
	}
}

func (s *state) next(t *rapid.T) {
	peeked, _ := s.queue.Peek()
	ref, ok := s.queue.Next(s.now)
	if ok != (s.total() > 0) || ref != peeked {
		t.Fatalf("Next is %v %v, Peek %v, with %d waiting", ref, ok, peeked, s.total())
	}
	if !ok {
		return
	}
	if !s.waiting[ref.Key][ref.Index] {
		t.Fatalf("%v given out twice", ref)
	}
	delete(s.waiting[ref.Key], ref.Index)
	s.out = append(s.out, ref)
}

func (s *state) requeue(t *rapid.T) {
	if len(s.out) == 0 {
		return
	}
	at := rapid.IntRange(0, len(s.out)-1).Draw(t, "out")
	ref := s.out[at]
	s.out = append(s.out[:at], s.out[at+1:]...)
	s.queue.Requeue(ref, s.now)
	if s.waiting[ref.Key] != nil {
		s.waiting[ref.Key][ref.Index] = true
	}
}

func (s *state) remove(t *rapid.T) {
	if len(s.out) == 0 {
		return
	}
	key := rapid.SampledFrom(s.out).Draw(t, "job").Key
	s.queue.Remove(key, s.now)
	delete(s.waiting, key)
}

// TestQueueKeepsEveryTask compares a queue with a plain model over random
// operations: no task is lost or given out twice, the bound holds at every
// admission, and refusals say not_run and when to come back.
func TestQueueKeepsEveryTask(t *testing.T) {
	const bound = 60
	rapid.Check(t, func(t *rapid.T) {
		s := &state{queue: NewQueue(), waiting: make(map[model.JobKey]map[int]bool), now: testStart}
		s.queue.ApplyBundle(bundle(model.Limits{QueuedTasks: bound}, model.Caller{Name: "a", Weight: 3}), 1, s.now)
		for number := range rapid.IntRange(0, 120).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0, 1, 2:
				s.submit(t, number, bound)
			case 3:
				s.requeue(t)
			case 4:
				s.remove(t)
			default:
				s.next(t)
			}
			if s.queue.Waiting() != s.total() {
				t.Fatalf("%d waiting, want %d", s.queue.Waiting(), s.total())
			}
		}
		for s.total() > 0 {
			s.next(t)
		}
	})
}
