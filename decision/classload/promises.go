package classload

import (
	"time"

	"github.com/figring/figring/work"
)

// promises spreads the jobs that were refused over the seconds in which capacity for
// their class is expected, and remembers which job was promised a place in which one.
type promises struct {
	// booked is the promised work of each second, in thousandths of a core times
	// seconds, by the second since the epoch of the entry's clock.
	booked map[int64]float64
	due    map[work.JobID]promise
	// order holds the jobs in the order of their promises.
	order []work.JobID
	// unpromised is the number of refused jobs without a promise.
	unpromised int64
}

type promise struct {
	at time.Time
	// slot is the second in which the work is booked.
	slot int64
	work float64
}

func newPromises() *promises {
	return &promises{booked: make(map[int64]float64), due: make(map[work.JobID]promise)}
}

// book promises the job a place in the first second with room and returns the time until
// then, in whole seconds. The work for which a second has room is given; the last job may
// exceed it, so that large jobs wait no longer than others. Without such a
// second within maxRetrySeconds there is no promise, and the jobs are spread over the
// later half of that time.
func (p *promises) book(now time.Time, id work.JobID, amount, perSecond float64) time.Duration {
	p.expire(now)
	if early, ok := p.due[id]; ok {
		// The job has come before its time. A second place would take that of another.
		return early.remaining(now)
	}
	after, promised := p.next(now, perSecond)
	if !promised {
		p.unpromised++
		return after
	}
	slot := now.Unix() + int64(after/time.Second)
	p.booked[slot] += amount
	p.due[id] = promise{now.Add(after), slot, amount}
	p.order = append(p.order, id)
	return after
}

// remaining returns the time until the promised place, in whole seconds.
func (p promise) remaining(now time.Time) time.Duration {
	return p.at.Sub(now).Truncate(time.Second) + time.Second
}

// expect returns the time that book would return if the job were refused now, and whether
// that is a promise. A promise whose time has come would end with the refusal.
func (p *promises) expect(now time.Time, id work.JobID, perSecond float64) (after time.Duration, promised bool) {
	if early, ok := p.due[id]; ok && now.Before(early.at.Add(-retryEarly)) {
		return early.remaining(now), true
	}
	return p.next(now, perSecond)
}

// next returns the time that book would return now, and whether that is a promise.
func (p *promises) next(now time.Time, perSecond float64) (after time.Duration, promised bool) {
	for seconds := int64(1); seconds <= maxRetrySeconds; seconds++ {
		if p.booked[now.Unix()+seconds] < perSecond {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return time.Duration(maxRetrySeconds-(p.unpromised+1)%(maxRetrySeconds/2)) * time.Second, false
}

// holds reports whether the job was promised a place now.
func (p *promises) holds(now time.Time, id work.JobID) bool {
	promised, ok := p.due[id]
	return ok && !now.Before(promised.at.Add(-retryEarly)) && !now.After(promised.at.Add(retryLate))
}

// keep reports whether the job was promised a place now, and ends the promise.
func (p *promises) keep(now time.Time, id work.JobID) bool {
	promised, ok := p.due[id]
	if !ok || now.Before(promised.at.Add(-retryEarly)) {
		return false
	}
	held := p.holds(now, id)
	delete(p.due, id)
	return held
}

// expire drops the promises and seconds that are over, and the oldest promises beyond
// maxPromises.
func (p *promises) expire(now time.Time) {
	for len(p.order) > 0 {
		oldest := p.order[0]
		if promised, ok := p.due[oldest]; ok && len(p.order) <= maxPromises && !now.After(promised.at.Add(retryLate)) {
			break
		}
		delete(p.due, oldest)
		p.order = p.order[1:]
	}
	for slot := range p.booked {
		if slot < now.Unix() {
			delete(p.booked, slot)
		}
	}
}
