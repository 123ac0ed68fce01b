package request

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/figring/figring/decision/jobstate"
	"github.com/figring/figring/model"
)

// requestChecker applies random events to a Request and checks every action
// against its own model of the dispatches.
type requestChecker struct {
	request *Request
	budget  int
	sent    int
	open    map[int]bool
	// possibleRuns counts the dispatches that were not proved not to have
	// started.
	possibleRuns int
	answer       *model.Answer
	winner       int
}

// apply applies an event and checks the actions against the model.
func (c *requestChecker) apply(t *rapid.T, event jobstate.Event) {
	for _, action := range c.request.Apply(event, testStart) {
		switch a := action.(type) {
		case jobstate.Dispatch:
			if c.answer != nil {
				t.Fatalf("dispatch after the answer")
			}
		case jobstate.Finish:
			if c.answer != nil {
				t.Fatalf("second answer")
			}
			c.answer = &a.Answer
		}
	}
}

// send dispatches the request if Attempt allows it.
func (c *requestChecker) send(t *rapid.T) {
	attempt, ok := c.request.Attempt(0)
	if !ok {
		return
	}
	if c.answer != nil {
		t.Fatalf("attempt after the answer")
	}
	c.sent++
	c.possibleRuns++
	c.open[attempt] = true
	c.apply(t, jobstate.Dispatched{Attempt: attempt})
	if c.possibleRuns > 1+c.budget || c.possibleRuns > testRuns || c.sent > testAttempts {
		t.Fatalf("%d of %d dispatches may run, budget %d", c.possibleRuns, c.sent, c.budget)
	}
	if len(c.open) > 2 {
		t.Fatalf("%d dispatches at once", len(c.open))
	}
}

// end ends an open dispatch, or sends a duplicate end for one that is not open.
func (c *requestChecker) end(t *rapid.T, attempt int, ending string) {
	wasOpen := c.open[attempt]
	delete(c.open, attempt)
	before := c.answer
	switch ending {
	case "done":
		c.apply(t, done(attempt, 200))
		if before == nil && wasOpen {
			c.winner = attempt
		}
	case "failed":
		c.apply(t, done(attempt, 500))
	case "truncated":
		c.apply(t, truncated(attempt))
	case "lost":
		c.apply(t, unknown(attempt))
	case "back":
		if wasOpen {
			c.possibleRuns--
		}
		c.apply(t, handedBack(attempt))
	}
}

// TestRequestInvariants checks the invariants of the package with random
// sequences of ends, hedges and duplicate ends.
func TestRequestInvariants(t *testing.T) {
	endings := []string{"done", "failed", "truncated", "lost", "back", "back"}
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 4).Draw(t, "budget")
		c := &requestChecker{request: newRequest(budget), budget: budget, open: make(map[int]bool)}
		c.apply(t, jobstate.Claimed{})
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				c.request.Hedge(testStart)
			case 1, 2:
				c.send(t)
			default:
				attempt := rapid.IntRange(1, c.sent+1).Draw(t, "attempt")
				if c.open[attempt] || attempt <= c.sent {
					c.end(t, attempt, rapid.SampledFrom(endings).Draw(t, "way"))
				}
			}
		}
		c.apply(t, jobstate.DeadlinePassed{})
		c.check(t)
	})
}

func (c *requestChecker) check(t *rapid.T) {
	if c.answer == nil {
		t.Fatalf("no answer")
	}
	if (c.answer.State == model.Complete) != (c.winner > 0) {
		t.Fatalf("state is %s, first successful attempt was %d", c.answer.State, c.winner)
	}
	if c.winner > 0 && int(c.answer.Results[0].Body[0]) != c.winner {
		t.Fatalf("answered with attempt %d, first successful attempt was %d", c.answer.Results[0].Body[0], c.winner)
	}
	if c.answer.Outcome == model.NotRun && c.possibleRuns > 0 {
		t.Fatalf("outcome is not_run although %d dispatches may have run", c.possibleRuns)
	}
	if c.answer.Outcome == model.Run && c.possibleRuns == 0 {
		t.Fatalf("outcome is run although no dispatch can have run")
	}
}
