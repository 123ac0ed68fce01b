package schedules

import (
	"time"

	"github.com/figring/figring/model"
)

// verdict is a terminal answer that was given under a lease.
type verdict struct {
	answer *model.Answer
	by     *entry
}

// checker checks the invariants. It records starts, answers and accepted commits and
// shares no state with the code under test.
type checker struct {
	w      *simulation
	starts map[model.TaskRef]int
	ended  map[model.TaskRef]bool
	first  map[model.JobKey]verdict
	// forgotten counts second terminal states of answers that were given just
	// before their entry died and had not been stored; see package answers.
	forgotten int
	// missed holds the keys whose stored answer was looked up and not found.
	missed map[model.JobKey]bool
	// closed maps each closed zone and drained target to the time of acceptance.
	closed map[string]time.Time
	// version is that of the last accepted bundle.
	version  int64
	claimers map[turn]model.Incarnation
	// open counts the unanswered submissions of each key, which may still be
	// accepted.
	open map[model.JobKey]int
	// barred holds the keys that were answered not_run while no other submission
	// was open. Their tasks must not start.
	barred map[model.JobKey]bool
}

func newChecker(w *simulation) *checker {
	return &checker{
		w:        w,
		starts:   make(map[model.TaskRef]int),
		ended:    make(map[model.TaskRef]bool),
		first:    make(map[model.JobKey]verdict),
		missed:   make(map[model.JobKey]bool),
		closed:   make(map[string]time.Time),
		claimers: make(map[turn]model.Incarnation),
		open:     make(map[model.JobKey]int),
		barred:   make(map[model.JobKey]bool),
	}
}

func (j *checker) fail(format string, args ...any) {
	j.w.t.Fatalf(format, args...)
}

// started records a start at a minion. No task may start twice, start after the
// answer not_run, or start at a zone or target after its closing has taken effect.
func (j *checker) started(ref model.TaskRef, at *sidecar) {
	j.starts[ref]++
	if j.starts[ref] > 1 {
		j.fail("STARTS: task %d of %s was started %d times", ref.Index, ref.Key, j.starts[ref])
	}
	if j.barred[ref.Key] {
		j.fail("NOT_RUN: task %d of %s was started after the answer not_run", ref.Index, ref.Key)
	}
	for _, name := range []string{at.zone, at.name} {
		accepted, closed := j.closed[name]
		if closed && j.w.now.After(accepted.Add(model.BundleTTL+model.ClockMargin)) {
			j.fail("CLOSED: start at %s %v after its closing was accepted", name, j.w.now.Sub(accepted))
		}
	}
}

// turn identifies one claim of a key: the first one, or one of its adoptions.
type turn struct {
	key       model.JobKey
	adoptions int
}

// claimed records a claim that the table accepted. Only one entry may win each
// turn.
func (j *checker) claimed(one turn, by model.Incarnation) {
	if former, ok := j.claimers[one]; ok && former != by {
		j.fail("CLAIMS: %s and %s both claimed %s after %d adoptions", former, by, one.key, one.adoptions)
	}
	j.claimers[one] = by
}

// submitted records a submission that was sent.
func (j *checker) submitted(key model.JobKey) {
	j.open[key]++
	delete(j.barred, key)
}

// refused records a refusal.
func (j *checker) refused(key model.JobKey, outcome model.Outcome) {
	j.checkNotRun(key, outcome)
}

func (j *checker) checkNotRun(key model.JobKey, outcome model.Outcome) {
	if outcome != model.NotRun {
		return
	}
	for index := range tasksPerJob {
		if j.starts[model.TaskRef{Key: key, Index: index}] > 0 {
			j.fail("NOT_RUN: %s was answered not_run after a start", key)
		}
	}
	if j.open[key] <= 1 {
		j.barred[key] = true
	}
}

// answered records and checks a terminal answer.
func (j *checker) answered(answer *model.Answer, by *entry, underLease bool) {
	j.checkResults(answer)
	j.checkNotRun(answer.Key, answer.Outcome)
	if !underLease {
		if answer.State != model.Complete {
			j.fail("LEASE: %s failed %s without a lease", by.self, answer.Key)
		}
		return
	}
	former, ok := j.first[answer.Key]
	if ok && former.answer.State != answer.State {
		j.second(former, answer)
	}
	if !ok {
		j.first[answer.Key] = verdict{answer: answer, by: by}
	}
}

// second handles an answer whose terminal state differs from the first one. That is
// allowed only if the entry of the first answer has lost its session and the
// answer had not been stored when it was looked up; see package answers.
func (j *checker) second(former verdict, answer *model.Answer) {
	alive := j.w.table.read(sessionKey(former.by.self)).Version != 0
	if alive || !j.missed[answer.Key] {
		j.fail("TERMINAL: %s was answered %s (%s) and then %s", answer.Key, former.answer.State, former.answer.Code, answer.State)
	}
	j.forgotten++
	j.first[answer.Key] = verdict{answer: answer, by: former.by}
}

func (j *checker) checkResults(answer *model.Answer) {
	want := 0
	if answer.State == model.Complete {
		want = tasksPerJob
	}
	if len(answer.Results) != want {
		j.fail("RESULTS: %s answer with %d results", answer.State, len(answer.Results))
	}
	for index, result := range answer.Results {
		ref := model.TaskRef{Key: answer.Key, Index: index}
		if result.Index != index || string(result.Body) != bodyOf(ref) || !j.ended[ref] {
			j.fail("RESULTS: result %d of %s is %q of task %d", index, answer.Key, result.Body, result.Index)
		}
	}
}
