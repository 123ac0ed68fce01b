package schedules

import (
	"slices"

	"github.com/figring/figring/decision/jobstate"
	"github.com/figring/figring/model"
)

// waiter receives the answer to one submission that waits at an entry. Only its
// first call counts.
type waiter func(*answer)

// answer is what a caller gets: a terminal answer or a refusal.
type answer struct {
	terminal *model.Answer
	refusal  *model.Refusal
	// by is the entry that answered. underLease tells whether it held a lease
	// then.
	by         *entry
	underLease bool
}

// job is a job in progress at one entry.
type job struct {
	key     model.JobKey
	state   *jobstate.Job
	ready   []int
	waiters []waiter
	// adopting is set until the claim of an adoption is written. claimer is the
	// entry from which the job is taken over.
	adopting bool
	claimer  model.Incarnation
}

func (j *job) reply(by *entry, refusal *model.Refusal) {
	j.end(&answer{refusal: refusal, by: by})
}

func (j *job) end(with *answer) {
	for _, one := range j.waiters {
		one(with)
	}
	j.waiters = nil
}

func (e *entry) jobOf(key model.JobKey) *job {
	for _, one := range e.jobs {
		if one.key == key {
			return one
		}
	}
	return nil
}

func (e *entry) forget(one *job) {
	e.jobs = slices.DeleteFunc(e.jobs, func(held *job) bool { return held == one })
}

func (e *entry) newJob(key model.JobKey, adopted bool, waits waiter) *job {
	one := &job{key: key, waiters: []waiter{waits}}
	one.state = jobstate.New(jobstate.Config{
		Key:         key,
		Tasks:       tasksPerJob,
		Deadline:    e.now().Add(jobTimeout),
		MaxAttempts: maxAttempts,
		Adopting:    adopted,
	})
	e.jobs = append(e.jobs, one)
	return one
}

// apply passes an event to a job and executes the resulting actions.
func (e *entry) apply(one *job, event jobstate.Event) {
	for _, action := range one.state.Apply(event, e.now()) {
		switch a := action.(type) {
		case jobstate.Dispatch:
			one.ready = append(one.ready, a.Indexes...)
		case jobstate.Attach:
			e.attachAll(one, a.Tasks)
		case jobstate.Withdraw:
			e.withdraw(one, a.Tasks)
		case jobstate.Finish:
			e.finish(one, &a.Answer)
		}
	}
}

// finish delivers the terminal answer. A failure is postponed while the entry
// holds no lease.
func (e *entry) finish(one *job, terminal *model.Answer) {
	e.forget(one)
	if terminal.State == model.Failed && !e.holdsLease() {
		e.undecided = append(e.undecided, terminal)
		one.reply(e, &model.Refusal{Code: terminal.Code, Outcome: model.Unknown})
		return
	}
	e.answered(terminal)
	one.end(&answer{terminal: terminal, by: e, underLease: e.holdsLease()})
}

// answered records the answer in memory and stores it in the table
// asynchronously.
func (e *entry) answered(terminal *model.Answer) {
	if e.keys.Answered(terminal.Key, terminal) {
		e.w.keep(e, terminal)
	}
}

// tick handles passed deadlines, postponed failures and expired keys.
func (e *entry) tick() {
	for _, one := range slices.Clone(e.jobs) {
		if !e.now().Before(one.state.Deadline()) {
			e.apply(one, jobstate.DeadlinePassed{})
		}
	}
	if e.holdsLease() {
		for _, terminal := range e.undecided {
			e.answered(terminal)
		}
		e.undecided = nil
	}
	e.keys.Expire(e.now())
	e.dispatch()
}

// cancelled handles a caller's cancellation of a job.
func (e *entry) cancelled(key model.JobKey) {
	if one := e.jobOf(key); one != nil && !e.fenced {
		e.apply(one, jobstate.Cancel{})
	}
}

func answerKey(by model.Incarnation, key model.JobKey) string {
	return "answers/" + string(by) + "/" + key.String()
}

// keep stores an answer in the table asynchronously. An outage loses it.
func (w *simulation) keep(by *entry, terminal *model.Answer) {
	w.post(message{to: w.table, what: "keep answer", act: func() {
		if !w.table.out {
			w.put(answerKey(by.self, terminal.Key), encode(terminal))
		}
	}})
}

// storedAnswer returns the answer that an entry has stored for the key, or nil.
func (w *simulation) storedAnswer(by model.Incarnation, key model.JobKey) *model.Answer {
	row := w.table.read(answerKey(by, key))
	if row.Version == 0 {
		return nil
	}
	stored := decode[model.Answer](row.Value)
	return &stored
}
