package ejection

// State says whether a target may get work.
type State uint8

const (
	// Healthy means that the target may get work without restriction.
	Healthy State = iota
	// Ejected means that the target gets no work.
	Ejected
	// Probing means that the ejection time is over and that the target may get
	// one task, the probe, at a time.
	Probing
)
