package keptend

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// TestAnswerToAnEnd guards against an end that a sidecar lets go of although its task may run
// again, or was; and against one that it keeps, or lets its lease lapse for, without need.
func TestAnswerToAnEnd(t *testing.T) {
	for _, tc := range []struct {
		end, job session.Epoch
		stored   bool
		want     State
	}{
		{1, 1, true, Confirmed},
		{1, 1, false, Needed},
		{1, 2, true, Superseded},
		{1, 2, false, Superseded},
		{2, 2, true, Confirmed},
		{session.UnknownEpoch, 1, true, Confirmed},
		{session.UnknownEpoch, 2, true, Stored},
		{session.UnknownEpoch, 2, false, Needed},
		{1, session.UnknownEpoch, true, Stored},
		{1, session.UnknownEpoch, false, Needed},
	} {
		state := Of(tc.stored, tc.end.Relate(tc.job))
		must.EqOp(t, tc.want, state, must.Sprintf("end of epoch %d, job at %d, stored %t", tc.end, tc.job, tc.stored))
		end := session.TaskEnd{Task: work.TaskKey{Job: "j"}, End: work.EndDone, Attempt: 1, Epoch: tc.end}
		var answer Answer
		answer.Add(end, state)
		request := answer.Request("s")
		must.EqOp(t, tc.want == Needed, answer.Empty())
		must.EqOp(t, tc.want == Confirmed || tc.want == Stored, len(request.StoredEnds) == 1)
		must.EqOp(t, tc.want == Confirmed, len(request.ConfirmedEnds) == 1)
		must.EqOp(t, tc.want == Superseded, len(request.SupersededEnds) == 1)
		must.EqOp(t, tc.end.Relate(tc.job) == session.Current, IsCurrent(end, tc.job))
	}
	var answer Answer
	answer.Add(session.TaskEnd{}, JobUnknown)
	must.Len(t, 1, answer.Request("s").UnknownEnds)
}
