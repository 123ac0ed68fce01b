package model

// Outcome says what is known about whether work was run. The three values are
// never merged: only a proof that nothing started yields NotRun.
type Outcome string

const (
	// NotRun means that it is proved that no task of the work was started.
	NotRun Outcome = "not_run"
	// Run means that at least one task of the work was started.
	Run Outcome = "run"
	// Unknown means that a task may have been started.
	Unknown Outcome = "unknown"
	// InProgress means that the work is being run now and will be answered.
	InProgress Outcome = "in_progress"
)

// Join returns what is known of a whole from what is known of two of its
// parts: the part that is known to have run wins, then the unknown one.
func (o Outcome) Join(other Outcome) Outcome {
	for _, rank := range []Outcome{Run, Unknown, InProgress} {
		if o == rank || other == rank {
			return rank
		}
	}
	return NotRun
}
