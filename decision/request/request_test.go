package request

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/decision/jobstate"
	"github.com/figring/figring/model"
)

// hedge represents a call of Request.Hedge among the events of a test case.
type hedge struct{ jobstate.Event }

// applyEvents applies events, sends each dispatch that becomes allowed, and
// returns the answer.
func applyEvents(r *Request, events ...jobstate.Event) *model.Answer {
	r.Apply(jobstate.Claimed{}, testStart)
	sendReady(r)
	var answer *model.Answer
	for _, event := range events {
		if _, ok := event.(hedge); ok {
			r.Hedge(testStart)
		} else if found := finishOf(r.Apply(event, testStart)); found != nil {
			answer = found
		}
		sendReady(r)
	}
	return answer
}

func sendReady(r *Request) {
	if attempt, ok := r.Attempt(0); ok {
		r.Apply(jobstate.Dispatched{Attempt: attempt, Sidecar: model.Incarnation(rune('a' + attempt))}, testStart)
	}
}

func TestRequestOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		budget  int
		events  []jobstate.Event
		state   model.State
		code    model.Code
		outcome model.Outcome
		stats   Stats
	}{
		{"answered", 0, []jobstate.Event{done(1, 200)}, model.Complete, "", model.Run, Stats{}},
		{"lost, then answered", 1, []jobstate.Event{unknown(1), done(2, 200)}, model.Complete, "", model.Run, Stats{Retries: 1}},
		{"lost without budget", 0, []jobstate.Event{unknown(1)}, model.Failed, model.CodeTaskUnknown, model.Unknown, Stats{Refused: 1}},
		{"lost too often", 9, []jobstate.Event{unknown(1), unknown(2), unknown(3)}, model.Failed, model.CodeTaskUnknown, model.Unknown, Stats{Retries: 2}},
		{"500, then answered", 1, []jobstate.Event{done(1, 500), done(2, 200)}, model.Complete, "", model.Run, Stats{Retries: 1}},
		{"500 without budget", 0, []jobstate.Event{done(1, 500)}, model.Failed, model.CodeTaskFailed, model.Run, Stats{Refused: 1}},
		{"404 is final", 9, []jobstate.Event{done(1, 404)}, model.Failed, model.CodeTaskFailed, model.Run, Stats{}},
		{"truncated, then answered", 1, []jobstate.Event{truncated(1), done(2, 200)}, model.Complete, "", model.Run, Stats{Retries: 1, Mismatched: 1}},
		{"handed back costs no budget", 0, []jobstate.Event{handedBack(1), handedBack(2), done(3, 200)}, model.Complete, "", model.Run, Stats{}},
		{"handed back too often", 0, []jobstate.Event{handedBack(1), handedBack(2), handedBack(3), handedBack(4), handedBack(5), handedBack(6)}, model.Failed, model.CodeNoCapacity, model.NotRun, Stats{}},
		{"hedge wins", 1, []jobstate.Event{hedge{}, done(2, 200)}, model.Complete, "", model.Run, Stats{Hedges: 1, Wasted: 1}},
		{"first wins over hedge", 1, []jobstate.Event{hedge{}, done(1, 200)}, model.Complete, "", model.Run, Stats{Hedges: 1, Wasted: 1}},
		{"hedge refused", 0, []jobstate.Event{hedge{}, done(1, 200)}, model.Complete, "", model.Run, Stats{Refused: 1}},
		{"one hedge at a time", 9, []jobstate.Event{hedge{}, hedge{}, done(1, 200)}, model.Complete, "", model.Run, Stats{Hedges: 1, Wasted: 1}},
		{"first lost, hedge answers", 1, []jobstate.Event{hedge{}, unknown(1), done(2, 200)}, model.Complete, "", model.Run, Stats{Hedges: 1}},
		{"hedge handed back", 1, []jobstate.Event{hedge{}, handedBack(2), done(1, 200)}, model.Complete, "", model.Run, Stats{Hedges: 1}},
		{"both lost", 1, []jobstate.Event{hedge{}, unknown(1), unknown(2)}, model.Failed, model.CodeTaskUnknown, model.Unknown, Stats{Hedges: 1, Refused: 1}},
		{"deadline while open", 0, []jobstate.Event{jobstate.DeadlinePassed{}}, model.Failed, model.CodeDeadline, model.Unknown, Stats{}},
		{"duplicate and crossed are ignored", 0, []jobstate.Event{jobstate.Done{Ref: otherRef, Attempt: 1, Result: result(1, 200)}, done(2, 200), done(1, 200), done(1, 200)}, model.Complete, "", model.Run, Stats{Ignored: 3}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRequest(c.budget)
			answer := applyEvents(r, c.events...)
			must.NotNil(t, answer)
			must.Eq(t, c.state, answer.State)
			must.Eq(t, c.code, answer.Code)
			must.Eq(t, c.outcome, answer.Outcome)
			must.Eq(t, c.stats, r.Stats())
		})
	}
}

func TestDeadlineBeforeFirstDispatch(t *testing.T) {
	r := newRequest(9)
	r.Apply(jobstate.Claimed{}, testStart)
	answer := finishOf(r.Apply(jobstate.DeadlinePassed{}, testDeadline))
	must.Eq(t, model.NotRun, answer.Outcome)
	_, ok := r.Attempt(0)
	must.False(t, ok)
}

// TestNoRetryOrHedgeAfterDeadline checks that a dispatch that ends after the
// deadline does not start another run, because nobody waits for its result.
func TestNoRetryOrHedgeAfterDeadline(t *testing.T) {
	r := newRequest(9)
	applyEvents(r)
	must.False(t, r.Hedge(testDeadline))
	must.False(t, hasDispatch(r.Apply(unknown(1), testDeadline)))
}

// TestOpenDispatchIsWithdrawnOnAnswer checks that a dispatch that is still open
// when a hedge succeeds is withdrawn before the answer is sent.
func TestOpenDispatchIsWithdrawnOnAnswer(t *testing.T) {
	r := newRequest(1)
	applyEvents(r, hedge{})
	actions := r.Apply(done(2, 200), testStart)
	must.Len(t, 2, actions)
	must.Eq(t, jobstate.Withdraw{Tasks: []jobstate.Placement{{Attempt: 1, Sidecar: "b"}}}, actions[0].(jobstate.Withdraw))
}
