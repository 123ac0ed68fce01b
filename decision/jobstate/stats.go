package jobstate

// Stats counts events that had no effect.
type Stats struct {
	// Late counts events after the job's Finish.
	Late int
	// Ignored counts events that did not fit the job's state, such as duplicate
	// results, results for another job and events of another attempt.
	Ignored int
	// Mismatched counts results whose digest did not match the body or whose task
	// index differed from that of the request.
	Mismatched int
}
