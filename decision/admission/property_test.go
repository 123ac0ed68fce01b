package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figring/figring/model"
)

// TestFairnessBound checks the fairness theorem of start-time fair queueing: while
// two callers both have ready tasks, the normalised service that they receive over
// any interval differs by at most the sum of their 1/weight.
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
			t.Fatalf("normalised service differs by %f, want at most %f", most-least, bound)
		}
	})
}

// queueModel is a reference model of a queue, compared with it after random
// operations.
type queueModel struct {
	queue *Queue
	// waiting holds the indexes of each job that are not dequeued.
	waiting  map[model.JobKey]map[int]bool
	dequeued []model.TaskRef
	now      time.Time
}

func (s *queueModel) waitingCount() int {
	total := 0
	for _, tasks := range s.waiting {
		total += len(tasks)
	}
	return total
}

func (s *queueModel) submit(t *rapid.T, number, bound int) {
	caller := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller")
	tasks := rapid.IntRange(1, 30).Draw(t, "tasks")
	before := s.waitingCount()
	refusal := submit(s.queue, caller, number, tasks, s.now)
	if refusal != nil {
		if refusal.Outcome != model.NotRun || refusal.RetryAfter <= 0 {
			t.Fatalf("refusal %+v, want outcome not_run and a positive RetryAfter", refusal)
		}
		return
	}
	if before+tasks > bound {
		t.Fatalf("%d tasks admitted with %d waiting and a limit of %d", tasks, before, bound)
	}
	s.waiting[testKey(caller, number)] = make(map[int]bool)
	for i := range tasks {
		s.waiting[testKey(caller, number)][i] = true
	}
}

func (s *queueModel) next(t *rapid.T) {
	peeked, _ := s.queue.Peek()
	ref, ok := s.queue.Next(s.now)
	if ok != (s.waitingCount() > 0) || ref != peeked {
		t.Fatalf("Next returned %v, %v and Peek %v with %d tasks waiting", ref, ok, peeked, s.waitingCount())
	}
	if !ok {
		return
	}
	if !s.waiting[ref.Key][ref.Index] {
		t.Fatalf("%v was dequeued twice", ref)
	}
	delete(s.waiting[ref.Key], ref.Index)
	s.dequeued = append(s.dequeued, ref)
}

func (s *queueModel) requeue(t *rapid.T) {
	if len(s.dequeued) == 0 {
		return
	}
	at := rapid.IntRange(0, len(s.dequeued)-1).Draw(t, "out")
	ref := s.dequeued[at]
	s.dequeued = append(s.dequeued[:at], s.dequeued[at+1:]...)
	s.queue.Requeue(ref, s.now)
	if s.waiting[ref.Key] != nil {
		s.waiting[ref.Key][ref.Index] = true
	}
}

func (s *queueModel) remove(t *rapid.T) {
	if len(s.dequeued) == 0 {
		return
	}
	key := rapid.SampledFrom(s.dequeued).Draw(t, "job").Key
	s.queue.Remove(key, s.now)
	delete(s.waiting, key)
}

// TestQueueKeepsEveryTask compares a queue with a reference model over random
// operations: no task is lost or dequeued twice, the queue limit holds at every
// admission, and refusals have the outcome not_run and a Retry-After.
func TestQueueKeepsEveryTask(t *testing.T) {
	const bound = 60
	rapid.Check(t, func(t *rapid.T) {
		s := &queueModel{queue: NewQueue(), waiting: make(map[model.JobKey]map[int]bool), now: testStart}
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
			if s.queue.Waiting() != s.waitingCount() {
				t.Fatalf("%d tasks waiting, want %d", s.queue.Waiting(), s.waitingCount())
			}
		}
		for s.waitingCount() > 0 {
			s.next(t)
		}
	})
}
