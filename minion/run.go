package minion

import (
	"net/http"
	"time"
)

// stoppedBody is the response body for a task that was stopped.
const stoppedBody = "stopped"

// result is the HTTP response to a task that was started.
type result struct {
	status int
	body   []byte
}

// run serves POST /run. The task continues if the client disconnects.
func (m *Minion) run(w http.ResponseWriter, r *http.Request) {
	req, status, err := parseRequest(w, r)
	if err != nil {
		notRun(w, status, err.Error())
		return
	}
	time.Sleep(m.Control().delay())
	t := &task{job: req.job, index: req.task, stop: make(chan struct{})}
	switch m.slots.acquire(t) {
	case refusedSlots:
		m.slotOverruns.Add(1)
		notRun(w, http.StatusServiceUnavailable, "every slot is taken")
	case refusedLeaving:
		m.refusedLeaving.Add(1)
		notRun(w, http.StatusServiceUnavailable, "the minion is leaving")
	default:
		m.runTask(w, req, t)
	}
}

// runTask runs a task that holds a slot, and releases the slot. It refuses the task
// if its latest start time has passed.
func (m *Minion) runTask(w http.ResponseWriter, req request, t *task) {
	now := time.Now()
	if req.tooLate(now) {
		m.slots.release(t)
		m.late.Add(1)
		notRun(w, http.StatusPreconditionFailed, "later than "+HeaderStartBefore)
		return
	}
	id, err := m.ledger.recordStart(m.newStart(req, now))
	if err != nil {
		m.slots.release(t)
		m.options.Logger.Error().Err(err).Msg("cannot record the start of the task in the ledger")
		notRun(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	m.started.Add(1)
	outcome := m.execute(req, t)
	m.finish(id, outcome.status)
	m.slots.release(t)
	time.Sleep(m.Control().delay())
	w.WriteHeader(outcome.status)
	_, _ = w.Write(outcome.body)
}

func (m *Minion) newStart(req request, now time.Time) Start {
	return Start{
		Incarnation: m.incarnation,
		Job:         req.job,
		Task:        req.task,
		Attempt:     req.attempt,
		Class:       req.class,
		Minion:      m.options.Name,
		Worker:      m.options.Worker,
		Zone:        m.options.Zone,
		StartNs:     now.UnixNano(),
	}
}

// execute simulates the task: it waits until the run time has passed or the task
// is stopped.
func (m *Minion) execute(req request, t *task) result {
	control := m.Control()
	if control.FailEverything {
		return result{http.StatusInternalServerError, []byte("failed")}
	}
	parsed := parsePayload(req.body)
	timer := time.NewTimer(parsed.runTime(m.options.Run, control.Speed))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.stop:
		return result{http.StatusConflict, []byte(stoppedBody)}
	}
	if parsed.Fail {
		return result{http.StatusInternalServerError, []byte("failed")}
	}
	return result{http.StatusOK, parsed.responseBody(req.class, req.body)}
}

// finish counts the ended task and records its end in the ledger.
func (m *Minion) finish(id int64, status int) {
	switch status {
	case http.StatusOK:
		m.succeeded.Add(1)
	case http.StatusConflict:
		m.stopped.Add(1)
	default:
		m.failed.Add(1)
	}
	if err := m.ledger.recordEnd(id, time.Now().UnixNano(), status); err != nil {
		m.options.Logger.Error().Err(err).Msg("cannot record the end of the task in the ledger")
	}
}

// notRun responds that the task was not started.
func notRun(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(HeaderNotRun, "true")
	http.Error(w, reason, status)
}
