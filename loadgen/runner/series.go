package runner

// Series identifies a histogram by caller and class.
type Series struct {
	Caller string
	Class  string
}
