package ejection

import "time"

// Detector detects outliers among targets, which are identified by ID, by their
// failure ratios. It is not safe for concurrent use.
type Detector[ID, Class comparable] struct {
	maxEjectionPercent int
	targets            map[ID]*target
	classes            map[Class]*classSuccesses[ID]
	// ejected is the number of targets that are ejected, including those being
	// probed.
	ejected int
	// results and failures are the totals over the windows of all targets.
	results  int
	failures int
}

// New returns a detector without targets. A maxEjectionPercent of zero means
// DefaultMaxEjectionPercent.
func New[ID, Class comparable](maxEjectionPercent int) *Detector[ID, Class] {
	d := &Detector[ID, Class]{
		targets: make(map[ID]*target),
		classes: make(map[Class]*classSuccesses[ID]),
	}
	d.SetMaxEjectionPercent(maxEjectionPercent)
	return d
}

// SetMaxEjectionPercent sets the largest share of targets, in percent, that may
// be ejected at once. Zero means DefaultMaxEjectionPercent. Lowering the share
// does not restore targets that are already ejected.
func (d *Detector[ID, Class]) SetMaxEjectionPercent(percent int) {
	if percent <= 0 {
		percent = DefaultMaxEjectionPercent
	}
	d.maxEjectionPercent = percent
}

// Add adds a target as healthy. A target that was added before keeps its state.
func (d *Detector[ID, Class]) Add(id ID) {
	if d.targets[id] == nil {
		d.targets[id] = &target{}
	}
}

// Remove deletes a target and its results.
func (d *Detector[ID, Class]) Remove(id ID) {
	t := d.targets[id]
	if t == nil {
		return
	}
	d.clearWindow(t)
	if t.ejected {
		d.ejected--
	}
	delete(d.targets, id)
}

// State returns whether a target may get work. An unknown target is Healthy.
func (d *Detector[ID, Class]) State(id ID, now time.Time) State {
	t := d.targets[id]
	if t == nil {
		return Healthy
	}
	return t.state(now)
}

// Ejected returns the number of targets whose state is Ejected or Probing.
func (d *Detector[ID, Class]) Ejected() int {
	return d.ejected
}

// MaxEjected returns the largest number of targets that may be ejected at once.
// It is the configured share rounded down, but at least one when there are two
// or more targets, so that ejection also works in a small fleet.
func (d *Detector[ID, Class]) MaxEjected() int {
	limit := len(d.targets) * d.maxEjectionPercent / 100
	if limit == 0 && len(d.targets) > 1 {
		return 1
	}
	return limit
}

// Started records that a task was sent to a target. For a target in state
// Probing the task is the probe, and tasks sent before it are no longer counted
// as outstanding.
func (d *Detector[ID, Class]) Started(id ID, now time.Time) {
	t := d.targets[id]
	if t == nil {
		return
	}
	if t.state(now) == Probing {
		t.probing = true
		t.outstanding = 0
	}
	t.outstanding++
	t.lastStart = now
}

// Inconclusive records that a task ended in a way that counts neither for nor
// against its target, for example because the sidecar did not start it.
func (d *Detector[ID, Class]) Inconclusive(id ID) {
	if t := d.targets[id]; t != nil {
		t.endTask()
	}
}

// Result records that a task of a class succeeded or failed at a target. While
// the target is ejected only results of probes count; tasks that were sent
// before the ejection are ignored, because they tell no more than the results
// that led to it.
func (d *Detector[ID, Class]) Result(id ID, taskClass Class, failed bool, now time.Time) {
	t := d.targets[id]
	if t == nil {
		return
	}
	successes := d.successesOf(taskClass)
	if !failed {
		successes.recordSuccess(id)
	}
	probe := t.endTask()
	if t.ejected {
		if probe {
			d.probeResult(t, failed, now)
		}
		return
	}
	d.countResult(t, failed)
	if failed && successes.otherSucceeded(id) && d.isOutlier(t) {
		d.eject(t, now)
	}
}

// successesOf returns the successes at a class of task. If there are too many
// classes, it drops all of them before it adds one.
func (d *Detector[ID, Class]) successesOf(taskClass Class) *classSuccesses[ID] {
	successes := d.classes[taskClass]
	if successes == nil {
		if len(d.classes) >= maxClasses {
			clear(d.classes)
		}
		successes = &classSuccesses[ID]{}
		d.classes[taskClass] = successes
	}
	return successes
}

// countResult adds a result to the window of a target and to the totals.
func (d *Detector[ID, Class]) countResult(t *target, failed bool) {
	results, failures := t.window.add(failed)
	d.results += results
	d.failures += failures
	t.resultsAtLevel++
	if t.resultsAtLevel >= windowSize && t.backoffLevel > 0 {
		t.resultsAtLevel = 0
		t.backoffLevel--
	}
}

// isOutlier reports whether the failure ratio of a target exceeds that of all
// other targets together by severeExcess or, with enough results, by
// moderateExcess. It reports false if there are too few results to compare.
func (d *Detector[ID, Class]) isOutlier(t *target) bool {
	size := t.window.size
	otherResults := d.results - size
	if size < severeMinResults || otherResults < minOtherResults {
		return false
	}
	ownRatio := float64(t.window.failed()) / float64(size)
	otherRatio := float64(d.failures-t.window.failed()) / float64(otherResults)
	excess := ownRatio - otherRatio
	return excess >= severeExcess || (size >= moderateMinResults && excess >= moderateExcess)
}

// eject ejects a target unless MaxEjected targets are ejected already.
func (d *Detector[ID, Class]) eject(t *target, now time.Time) {
	if d.ejected >= d.MaxEjected() {
		return
	}
	d.ejected++
	t.ejected = true
	d.clearWindow(t)
	d.startEjection(t, now)
}

func (d *Detector[ID, Class]) startEjection(t *target, now time.Time) {
	t.ejectedUntil = now.Add(t.ejectionTime())
	t.backoffLevel++
	t.probeSuccesses = 0
}

// probeResult restores a target after probesToRestore successful probes in a
// row. A failed probe ejects it again, for a longer time.
func (d *Detector[ID, Class]) probeResult(t *target, failed bool, now time.Time) {
	if failed {
		d.startEjection(t, now)
		return
	}
	t.probeSuccesses++
	if t.probeSuccesses < probesToRestore {
		return
	}
	t.ejected = false
	t.resultsAtLevel = 0
	d.ejected--
}

// clearWindow empties the window of a target and deducts it from the totals.
func (d *Detector[ID, Class]) clearWindow(t *target) {
	d.results -= t.window.size
	d.failures -= t.window.failed()
	t.window = window{}
}
