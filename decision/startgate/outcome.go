package startgate

// EndOutcome states what is known about a started task when it ends.
type EndOutcome int

const (
	// EndUnknown means that no complete response was received.
	EndUnknown EndOutcome = iota
	// EndDone means that the minion returned a complete response.
	EndDone
	// EndNotRun means that the minion is known not to have run the task.
	EndNotRun
)
