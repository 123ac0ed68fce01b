package ejection

import "time"

// Detector keeps the failure ratios of targets that are identified by ID. It is
// not safe for concurrent use.
type Detector[ID, Class comparable] struct {
	sharePercent int
	targets      map[ID]*target
	classes      map[Class]*class[ID]
	ejected      int
	samples      int
	failures     int
}

// New returns a detector without targets. A sharePercent of zero means
// DefaultSharePercent.
func New[ID, Class comparable](sharePercent int) *Detector[ID, Class] {
	d := &Detector[ID, Class]{
		targets: make(map[ID]*target),
		classes: make(map[Class]*class[ID]),
	}
	d.SetMaxEjectionPercent(sharePercent)
	return d
}

// SetMaxEjectionPercent sets the largest share of targets, in percent, that may be ejected
// at once. Zero means DefaultSharePercent. Targets that are ejected stay so.
func (d *Detector[ID, Class]) SetMaxEjectionPercent(percent int) {
	if percent <= 0 {
		percent = DefaultMaxEjectionPercent
	}
	d.sharePercent = percent
}

// Add makes a target known; a known one keeps its state.
func (d *Detector[ID, Class]) Add(id ID) {
	if d.targets[id] == nil {
		d.targets[id] = &target{}
	}
}

// Remove forgets a target.
func (d *Detector[ID, Class]) Remove(id ID) {
	known := d.targets[id]
	if known == nil {
		return
	}
	d.clearWindow(known)
	if known.ejected {
		d.ejected--
	}
	delete(d.targets, id)
}

// State returns whether a target may get work. An unknown target is Open.
func (d *Detector[ID, Class]) State(id ID, now time.Time) State {
	known := d.targets[id]
	if known == nil {
		return Healthy
	}
	return known.state(now)
}

// Ejected returns the number of targets that are ejected or on probation.
func (d *Detector[ID, Class]) Ejected() int {
	return d.ejected
}

// MaxEjected returns the largest number of targets that may be ejected at once: the
// share rounded down, but one of two or more, so that a small fleet is not
// without defence.
func (d *Detector[ID, Class]) MaxEjected() int {
	limit := len(d.targets) * d.sharePercent / 100
	if limit == 0 && len(d.targets) > 1 {
		return 1
	}
	return limit
}

// Started notes that a task was sent to a target. For a target on probation
// this is its one probe.
func (d *Detector[ID, Class]) Started(id ID, now time.Time) {
	known := d.targets[id]
	if known == nil {
		return
	}
	if known.state(now) == Probing {
		known.probing = true
		known.outstanding = 0
	}
	known.outstanding++
	known.lastStart = now
}

// Inconclusive notes that a task sent to a target ended without a result that
// says anything about it, such as one handed back.
func (d *Detector[ID, Class]) Inconclusive(id ID) {
	if known := d.targets[id]; known != nil {
		known.end()
	}
}

// Result notes a success or failure of a target at a class of task. Results of
// tasks that were sent before an ejection and end during it say nothing new.
func (d *Detector[ID, Class]) Result(id ID, taskClass Class, failed bool, now time.Time) {
	known := d.targets[id]
	if known == nil {
		return
	}
	seen := d.class(taskClass)
	if !failed {
		seen.succeeded(id)
	}
	probe := known.end()
	if known.ejected {
		if probe {
			d.probeResult(known, failed, now)
		}
		return
	}
	d.count(known, failed)
	if failed && seen.otherSucceeded(id) && d.outlier(known) {
		d.eject(known, now)
	}
}

func (d *Detector[ID, Class]) class(taskClass Class) *class[ID] {
	seen := d.classes[taskClass]
	if seen == nil {
		if len(d.classes) >= maxClasses {
			clear(d.classes)
		}
		seen = &class[ID]{}
		d.classes[taskClass] = seen
	}
	return seen
}

func (d *Detector[ID, Class]) count(known *target, failed bool) {
	samples, failures := known.window.add(failed)
	d.samples += samples
	d.failures += failures
	known.goodResults++
	if known.goodResults >= windowResults && known.level > 0 {
		known.goodResults = 0
		known.level--
	}
}

// outlier compares a target's failure ratio with that of all others together.
func (d *Detector[ID, Class]) outlier(known *target) bool {
	size := known.window.size
	others := d.samples - size
	if size < quickSamples || others < minOthers {
		return false
	}
	own := float64(known.window.failed()) / float64(size)
	rest := float64(d.failures-known.window.failed()) / float64(others)
	excess := own - rest
	return excess >= quickExcess || (size >= steadySamples && excess >= steadyExcess)
}

func (d *Detector[ID, Class]) eject(known *target, now time.Time) {
	if d.ejected >= d.MaxEjected() {
		return
	}
	d.ejected++
	known.ejected = true
	d.clearWindow(known)
	d.startEjection(known, now)
}

func (d *Detector[ID, Class]) startEjection(known *target, now time.Time) {
	known.until = now.Add(known.ejectionTime())
	known.level++
	known.successes = 0
}

// probeResult restores a target after enough successes in a row and ejects it
// for longer after a failure.
func (d *Detector[ID, Class]) probeResult(known *target, failed bool, now time.Time) {
	if failed {
		d.startEjection(known, now)
		return
	}
	known.successes++
	if known.successes < probesToRestore {
		return
	}
	known.ejected = false
	known.goodResults = 0
	d.ejected--
}

func (d *Detector[ID, Class]) clearWindow(known *target) {
	d.samples -= known.window.size
	d.failures -= known.window.failed()
	known.window = window{}
}
