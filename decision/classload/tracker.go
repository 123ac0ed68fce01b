package classload

import (
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// Tracker is the state of an entry. It is not safe for concurrent use.
type Tracker struct {
	services map[string]*serviceState
	classes  map[Class]*classState
	// answers are the newest sums of the sidecars.
	answers     map[string]report
	refreshedAt time.Time
	changes     []Change
}

// New returns a tracker without classes.
func New() *Tracker {
	return &Tracker{
		services: make(map[string]*serviceState),
		classes:  make(map[Class]*classState),
		answers:  make(map[string]report),
	}
}

// SetClasses sets the priorities, in ascending order, of each service whose load is
// tracked. Classes that stay keep their state.
func (t *Tracker) SetClasses(priorities map[string][]int) {
	oldServices, old := t.services, t.classes
	t.services, t.classes = make(map[string]*serviceState), make(map[Class]*classState)
	for name, classes := range priorities {
		service, ok := oldServices[name]
		if !ok {
			service = &serviceState{name: name}
		}
		service.classes = nil
		for _, priority := range classes {
			class := Class{name, priority}
			state, ok := old[class]
			if !ok {
				state = &classState{class: class, promises: newPromises()}
			}
			service.classes = append(service.classes, state)
			t.classes[class] = state
		}
		t.services[name] = service
	}
}

// Offer records that a caller offers a job with the declared work, in thousandths of a
// core times seconds. It returns the work corrected by the measured pace.
func (t *Tracker) Offer(now time.Time, class Class, declared float64) float64 {
	state, ok := t.classes[class]
	if !ok {
		return declared
	}
	corrected := t.Corrected(now, class, declared)
	state.offered.add(now, corrected, rateTime)
	state.counts.OfferedWork += corrected
	return corrected
}

// Corrected returns the declared work corrected by the measured pace of the class.
func (t *Tracker) Corrected(now time.Time, class Class, declared float64) float64 {
	if state, ok := t.classes[class]; ok {
		return declared * state.pace.ratio(now)
	}
	return declared
}

// RunEnded records the run times of a run that is done.
func (t *Tracker) RunEnded(now time.Time, class Class, milliCPU int64, declared, measured time.Duration) {
	if state, ok := t.classes[class]; ok && declared > 0 && measured > 0 {
		state.pace.add(now, milliCPU, declared, measured)
	}
}

// LoadFor returns what the entry tells a sidecar: its rates times the sidecar's share of
// the capacity of all its sidecars. It returns nil for a service without classes.
func (t *Tracker) LoadFor(now time.Time, service string, share float64) session.ClassLoad {
	state, ok := t.services[service]
	if !ok {
		return nil
	}
	load := make(session.ClassLoad, len(state.classes))
	for _, class := range state.classes {
		load[class.class.Priority] = int64(class.ownRate(now) * share)
	}
	return load
}

// Answered records the sum that a sidecar has told.
func (t *Tracker) Answered(now time.Time, sidecar string, load session.ClassLoad) {
	if load != nil {
		t.answers[sidecar] = report{load, now}
	}
}

// Forget drops what a sidecar has told.
func (t *Tracker) Forget(sidecar string) { delete(t.answers, sidecar) }

// RefreshDue reports whether Refresh should be called.
func (t *Tracker) RefreshDue(now time.Time) bool {
	return len(t.services) > 0 && now.Sub(t.refreshedAt) >= refreshInterval
}

// Refresh divides the capacity of the fleet among the classes.
func (t *Tracker) Refresh(now time.Time, fleet *Fleet) {
	t.refreshedAt = now
	for _, service := range t.services {
		service.refresh(now, fleet, t.answers)
		if service.scarcityChanged(now) {
			t.changes = append(t.changes, Change{Service: service.name, Kind: scarcityChange(service.scarceReported)})
		}
		if service.fallbackChanged(now) {
			t.changes = append(t.changes, Change{Service: service.name, Kind: fallbackChange(service.fallbackReported)})
		}
	}
}

// Admit decides whether a job may be placed. A job that needs no more than the spare
// capacity is not shed, nor is one in the second for which it was told to retry.
func (t *Tracker) Admit(now time.Time, class Class, id work.JobID, amount float64, milliCPU int64) Admission {
	admission := Unlimited(class, amount)
	state, ok := t.classes[class]
	if !ok {
		return admission
	}
	passed := t.judge(now, state, id, milliCPU)
	state.promises.keep(now, id)
	switch passed {
	case passPromised, passBucket:
		admission.taken = state.bucket.take(now, amount)
	case passSpare:
		t.services[class.Service].spare -= float64(milliCPU)
	case passNone:
		state.counts.Shed++
		admission.Shed = true
	}
	return admission
}

// WouldShed reports whether Admit would shed the job now.
func (t *Tracker) WouldShed(now time.Time, class Class, id work.JobID, milliCPU int64) bool {
	state, ok := t.classes[class]
	return ok && t.judge(now, state, id, milliCPU) == passNone
}

// Confirm counts the work of an admitted job that was placed or waits to be.
func (t *Tracker) Confirm(admission Admission) {
	if state, ok := t.classes[admission.class]; ok {
		state.counts.AdmittedWork += admission.work
	}
}

// Withdraw takes back the admission of a job that could not be placed.
func (t *Tracker) Withdraw(admission Admission) {
	if state, ok := t.classes[admission.class]; ok {
		state.bucket.level += admission.taken
	}
}

// RetryAfter returns when capacity for a job that is refused is expected, and promises it
// a place then. It returns false while capacity is not scarce.
func (t *Tracker) RetryAfter(now time.Time, class Class, id work.JobID, amount float64) (time.Duration, bool) {
	state, ok := t.classes[class]
	if !ok || !t.services[class.Service].scarce {
		return 0, false
	}
	return state.promises.book(now, id, amount, state.retryRate(state.ownRate(now))), true
}

// ExpectRetry returns what RetryAfter would return for a job with the work that is
// offered and refused now, and promises nothing.
func (t *Tracker) ExpectRetry(now time.Time, class Class, id work.JobID, amount float64) (time.Duration, bool) {
	state, ok := t.classes[class]
	if !ok || !t.services[class.Service].scarce {
		return 0, false
	}
	after, _ := state.promises.expect(now, id, state.retryRate(state.ownRate(now)+amount/rateTime.Seconds()))
	return after, true
}

// WaitFactor returns how much longer than expected a wait of the class will be, because
// of the more urgent work that arrives meanwhile. It returns false while capacity is not
// scarce.
func (t *Tracker) WaitFactor(class Class) (float64, bool) {
	state, ok := t.classes[class]
	if !ok || !t.services[class.Service].scarce {
		return 0, false
	}
	return 1 / max(1-state.urgentShare, 1/maxWaitFactor), true
}
