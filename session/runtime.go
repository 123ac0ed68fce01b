package session

// RunTime is the ratio of measured to declared run time of a route's tasks on a minion.
type RunTime struct {
	Route string
	// Ratio is in thousandths.
	Ratio int
	// Weight is the weight of the runs behind the ratio, in hundredths of a run.
	Weight int
}
