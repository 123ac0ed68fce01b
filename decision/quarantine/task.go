package quarantine

import "time"

// taskRecord is what is known of a task that was in progress when minions crashed.
type taskRecord struct {
	route string
	// stored is the number of crashes that was stored with the job when this entry took
	// the job over at storedAt. reportedBefore and reportedSince count the crashes that
	// sidecars have reported, by whether they came before or after that.
	stored, reportedBefore, reportedSince int
	storedAt                              time.Time
	// youngCrashes are the reported crashes at which the run was young. young means that
	// it was, or may have been, at the last crash.
	youngCrashes int
	young        bool
	// unanswered are the crashes of which it is not known whether the start of the task
	// had reached the minion, and which no other job can have caused.
	unanswered int
	// sole means that no other job can have caused one of the crashes at which the run
	// was young, alone that the task was alone at one of the crashes.
	sole, alone bool
	poison      bool
	// at is the time of the last crash.
	at time.Time
}

// crashes returns the number of minions that crashed while the task was in progress. The
// stored number may include crashes that are reported too.
func (r *taskRecord) crashes() int {
	return max(r.stored, r.reportedBefore) + r.reportedSince
}

func (r *taskRecord) restore(now time.Time, crashes int) {
	r.stored = crashes
	r.storedAt = now
	r.reportedBefore += r.reportedSince
	r.reportedSince = 0
	r.at = latest(r.at, now)
}

// record counts a crash of which it is certain that the task was in progress.
func (r *taskRecord) record(at time.Time, young, sole, alone bool) {
	if at.Before(r.storedAt) {
		r.reportedBefore++
	} else {
		r.reportedSince++
	}
	r.sole = r.sole || (young && sole)
	r.alone = r.alone || alone
	if young {
		r.youngCrashes++
	}
}

// setYoung records whether the run was young at a crash, if it is the last one.
func (r *taskRecord) setYoung(at time.Time, young bool) {
	if !at.Before(r.at) {
		r.at = at
		r.young = young
	}
}

// isPoison reports whether the task crashes minions: several have crashed soon after its
// start, and at one of these crashes nothing else can have been the cause; or several
// have crashed, one of them while the task was alone; or maxUnprovedCrashes may have,
// at more of which its start was not answered than it takes to run it alone.
func (r *taskRecord) isPoison() bool {
	return (r.youngCrashes >= poisonCrashes && r.sole) || (r.crashes() >= poisonCrashes && r.alone) ||
		(r.unanswered > maxUnprovedCrashes-aloneCrashes && r.crashes()+r.unanswered >= maxUnprovedCrashes)
}
