package model

// Outcome is what is known about whether work was run. The values must be kept
// apart: only proof that nothing was started allows NotRun.
type Outcome string

const (
	// NotRun means that no task of the work was started, and that this is proved.
	NotRun Outcome = "not_run"
	// Run means that at least one task of the work was started.
	Run Outcome = "run"
	// Unknown means that a task may have been started.
	Unknown Outcome = "unknown"
	// InProgress means that the work is still running and will be answered.
	InProgress Outcome = "in_progress"
)

// Join combines the outcomes of two parts of the work into the outcome of the
// whole. Run has the highest precedence, then Unknown, InProgress and NotRun.
func (o Outcome) Join(other Outcome) Outcome {
	for _, rank := range []Outcome{Run, Unknown, InProgress} {
		if o == rank || other == rank {
			return rank
		}
	}
	return NotRun
}
