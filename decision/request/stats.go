package request

// Stats counts what a request cost beyond its first run.
type Stats struct {
	// Retries counts repetitions after an end without a good answer.
	Retries int
	// Hedges counts second dispatches beside an open one.
	Hedges int
	// Refused counts the repetitions that the budget did not allow.
	Refused int
	// Wasted counts the dispatches that were open when the answer came.
	Wasted int
	// Ignored counts events that did not fit the state, and Mismatched results
	// that were not whole or named another task.
	Ignored    int
	Mismatched int
}
