package ejection

// State says whether a target may get work.
type State uint8

const (
	// Healthy means that the target gets work as any other.
	Healthy State = iota
	// Ejected means that the target gets no work.
	Ejected
	// Probing means that the target may get one task at a time.
	Probing
)
