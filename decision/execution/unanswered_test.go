package execution

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/work"
)

// leaveStartUnanswered orders a task whose start the minion doesn't answer.
func (f *fixture) leaveStartUnanswered(task work.TaskKey) {
	f.t.Helper()
	f.order(task)
	f.core.StartAnswered(f.now, f.starts()[0], StartUnanswered)
}

// TestUnansweredStartEndsWithItsMinion guards against a job that stands still: the minion is
// gone for good before it has answered a start, and nothing decides about the run any more.
func TestUnansweredStartEndsWithItsMinion(t *testing.T) {
	for _, tc := range []struct {
		refused bool
		want    work.End
	}{{true, work.EndCrashed}, {false, work.EndLapsed}} {
		f := newFixture(t)
		f.leaveStartUnanswered(key("a", 0))
		for until := f.now.Add(lostMinionAfter); !f.now.After(until); f.now = f.now.Add(lostMinionAfter / (2 * lostMinionPolls)) {
			f.core.PollFailed(f.now, tc.refused)
			f.core.LeaseLapsed(f.now)
			must.Len(t, 0, f.core.EventsFor(testEntry))
		}
		f.core.PollFailed(f.now.Add(time.Millisecond), tc.refused)
		f.core.LeaseLapsed(f.now.Add(time.Millisecond))
		must.EqOp(t, tc.want, f.onlyEvent().End)
	}
}

// TestUnansweredStartWaitsForAMinionThatIsBack guards against a run that is given up while its
// start may reach the minion: it answers in between.
func TestUnansweredStartWaitsForAMinionThatIsBack(t *testing.T) {
	f := newFixture(t)
	f.leaveStartUnanswered(key("a", 0))
	f.core.PollFailed(f.now, true)
	f.now = f.now.Add(lostMinionAfter)
	f.core.PollFailed(f.now, false)
	f.now = f.now.Add(lostMinionAfter)
	f.core.PollFailed(f.now, true)
	must.Len(t, 0, f.core.EventsFor(testEntry))
}
