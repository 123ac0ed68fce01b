package request

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/figring/figring/decision/jobstate"
	"github.com/figring/figring/model"
)

// world is the truth about a request, which the request itself can't see.
type world struct {
	request *Request
	budget  int
	sent    int
	open    map[int]bool
	// mayRun counts the dispatches that were not proved unstarted.
	mayRun   int
	answered *model.Answer
	winner   int
}

// apply feeds an event and checks the actions against the truth.
func (w *world) apply(t *rapid.T, event jobstate.Event) {
	for _, action := range w.request.Apply(event, testStart) {
		switch a := action.(type) {
		case jobstate.Dispatch:
			if w.answered != nil {
				t.Fatalf("dispatch after the answer")
			}
		case jobstate.Finish:
			if w.answered != nil {
				t.Fatalf("second answer")
			}
			w.answered = &a.Answer
		}
	}
}

// send dispatches the request if it lets itself be.
func (w *world) send(t *rapid.T) {
	attempt, ok := w.request.Attempt(0)
	if !ok {
		return
	}
	if w.answered != nil {
		t.Fatalf("attempt after the answer")
	}
	w.sent++
	w.mayRun++
	w.open[attempt] = true
	w.apply(t, jobstate.Dispatched{Attempt: attempt})
	if w.mayRun > 1+w.budget || w.mayRun > testRuns || w.sent > testAttempts {
		t.Fatalf("%d dispatches may run of %d, budget %d", w.mayRun, w.sent, w.budget)
	}
	if len(w.open) > 2 {
		t.Fatalf("%d dispatches at once", len(w.open))
	}
}

// end ends an open dispatch, or replays the end of one that is not.
func (w *world) end(t *rapid.T, attempt int, way string) {
	wasOpen := w.open[attempt]
	delete(w.open, attempt)
	before := w.answered
	switch way {
	case "done":
		w.apply(t, done(attempt, 200))
		if before == nil && wasOpen {
			w.winner = attempt
		}
	case "failed":
		w.apply(t, done(attempt, 500))
	case "truncated":
		w.apply(t, truncated(attempt))
	case "lost":
		w.apply(t, lost(attempt))
	case "back":
		if wasOpen {
			w.mayRun--
		}
		w.apply(t, back(attempt))
	}
}

// TestRandomOrders checks the package's invariants over random orders of ends,
// hedges and replays.
func TestRandomOrders(t *testing.T) {
	ways := []string{"done", "failed", "truncated", "lost", "back", "back"}
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 4).Draw(t, "budget")
		w := &world{request: newRequest(budget), budget: budget, open: make(map[int]bool)}
		w.apply(t, jobstate.Claimed{})
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				w.request.Hedge(testStart)
			case 1, 2:
				w.send(t)
			default:
				attempt := rapid.IntRange(1, w.sent+1).Draw(t, "attempt")
				if w.open[attempt] || attempt <= w.sent {
					w.end(t, attempt, rapid.SampledFrom(ways).Draw(t, "way"))
				}
			}
		}
		w.apply(t, jobstate.DeadlinePassed{})
		w.check(t)
	})
}

func (w *world) check(t *rapid.T) {
	if w.answered == nil {
		t.Fatalf("no answer")
	}
	if (w.answered.State == model.Complete) != (w.winner > 0) {
		t.Fatalf("%s, winner %d", w.answered.State, w.winner)
	}
	if w.winner > 0 && int(w.answered.Results[0].Body[0]) != w.winner {
		t.Fatalf("answered with attempt %d, first was %d", w.answered.Results[0].Body[0], w.winner)
	}
	if w.answered.Outcome == model.NotRun && w.mayRun > 0 {
		t.Fatalf("not_run though %d dispatches may have run", w.mayRun)
	}
	if w.answered.Outcome == model.Run && w.mayRun == 0 {
		t.Fatalf("run though nothing can have run")
	}
}
