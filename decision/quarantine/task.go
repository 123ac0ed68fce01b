package quarantine

import "time"

// taskRecord is what is known of a task that was in progress when minions crashed.
type taskRecord struct {
	route string
	// crashes is the number of minions that crashed while the task was in progress.
	crashes int
	// youngCrashes are those of the crashes at which the run was young, young means that
	// the last one was among them.
	youngCrashes int
	young        bool
	// sole means that no other job can have caused one of the crashes.
	sole   bool
	poison bool
	// at is the time of the last crash.
	at time.Time
}

func (r *taskRecord) record(at time.Time, young, sole bool) {
	r.crashes++
	r.sole = r.sole || (young && sole)
	if young {
		r.youngCrashes++
	}
	if !at.Before(r.at) {
		r.at = at
		r.young = young
	}
}

// isPoison reports whether the task crashes minions: several have crashed soon after its
// start, at one of these crashes nothing else can have been the cause; or it was started
// alone and its minion crashed nevertheless.
func (r *taskRecord) isPoison() bool {
	return r.crashes > aloneCrashes || (r.youngCrashes >= poisonCrashes && r.sole)
}
