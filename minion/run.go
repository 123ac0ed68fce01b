package minion

import (
	"net/http"
	"time"
)

// stoppedBody is the answer of a task that was stopped.
const stoppedBody = "stopped"

// result is how a task ended.
type result struct {
	status int
	body   []byte
}

// run serves POST /run. The client's going away does not end the task.
func (m *Minion) run(w http.ResponseWriter, r *http.Request) {
	asked, status, err := parseRequest(w, r)
	if err != nil {
		notRun(w, status, err.Error())
		return
	}
	time.Sleep(m.Control().delay())
	one := &task{job: asked.job, index: asked.task, stop: make(chan struct{})}
	switch m.slots.take(one) {
	case refusedSlots:
		m.slotOverruns.Add(1)
		notRun(w, http.StatusServiceUnavailable, "every slot is taken")
	case refusedLeaving:
		m.refusedLeaving.Add(1)
		notRun(w, http.StatusServiceUnavailable, "the minion is leaving")
	default:
		m.start(w, asked, one)
	}
}

// start runs a task that has a slot, unless it is too late for it.
func (m *Minion) start(w http.ResponseWriter, asked request, one *task) {
	now := time.Now()
	if asked.tooLate(now) {
		m.slots.give(one)
		m.late.Add(1)
		notRun(w, http.StatusPreconditionFailed, "later than "+HeaderStartBefore)
		return
	}
	id, err := m.ledger.begin(m.entry(asked, now))
	if err != nil {
		m.slots.give(one)
		m.options.Logger.Error().Err(err).Msg("start not recorded")
		notRun(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	m.started.Add(1)
	ended := m.execute(asked, one)
	m.finish(id, ended.status)
	m.slots.give(one)
	time.Sleep(m.Control().delay())
	w.WriteHeader(ended.status)
	_, _ = w.Write(ended.body)
}

func (m *Minion) entry(asked request, now time.Time) Start {
	return Start{
		Incarnation: m.incarnation,
		Job:         asked.job,
		Task:        asked.task,
		Attempt:     asked.attempt,
		Class:       asked.class,
		Minion:      m.options.Name,
		Worker:      m.options.Worker,
		Zone:        m.options.Zone,
		StartNs:     now.UnixNano(),
	}
}

// execute waits for the run time of the task, or until it is stopped.
func (m *Minion) execute(asked request, one *task) result {
	control := m.Control()
	if control.FailEverything {
		return result{http.StatusInternalServerError, []byte("failed")}
	}
	work := parsePayload(asked.body)
	timer := time.NewTimer(work.runTime(m.options.Run, control.Speed))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-one.stop:
		return result{http.StatusConflict, []byte(stoppedBody)}
	}
	if work.Fail {
		return result{http.StatusInternalServerError, []byte("failed")}
	}
	return result{http.StatusOK, work.answer(asked.class, asked.body)}
}

func (m *Minion) finish(id int64, status int) {
	switch status {
	case http.StatusOK:
		m.succeeded.Add(1)
	case http.StatusConflict:
		m.stopped.Add(1)
	default:
		m.failed.Add(1)
	}
	if err := m.ledger.end(id, time.Now().UnixNano(), status); err != nil {
		m.options.Logger.Error().Err(err).Msg("end not recorded")
	}
}

// notRun answers a task that was not started.
func notRun(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(HeaderNotRun, "true")
	http.Error(w, reason, status)
}
