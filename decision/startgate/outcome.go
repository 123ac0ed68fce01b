package startgate

// EndOutcome says what is known of a started task at its end.
type EndOutcome int

const (
	// EndUnknown means that no whole answer came back.
	EndUnknown EndOutcome = iota
	// EndDone means that the minion answered.
	EndDone
	// EndNotRun is a proof that the minion did not run the task.
	EndNotRun
)
