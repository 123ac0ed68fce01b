package jobstate

// Stats counts events that had no effect.
type Stats struct {
	// Late counts events after the job's Finish.
	Late int
	// Ignored counts events that did not fit the job's state: duplicate or
	// crossed results, and other attempts.
	Ignored int
	// Mismatched counts results whose body did not have its digest or that
	// named another task than the call they answered.
	Mismatched int
}
