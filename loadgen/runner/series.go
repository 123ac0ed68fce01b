package runner

// Series names a histogram.
type Series struct {
	Caller string
	Class  string
}
