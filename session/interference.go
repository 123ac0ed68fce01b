package session

// KindLoad is the CPU demand of the runs of one kind of tasks on a minion.
type KindLoad struct {
	// Kind is the index of the kind in the newest Interference.Kinds.
	Kind     int
	MilliCPU int64
}

// Interference is the evidence of one sidecar on how kinds of tasks affect each other.
type Interference struct {
	// Kinds are the kinds that the sidecar distinguishes. An empty name marks an index
	// that is not in use.
	Kinds []string
	Pairs []PairEvidence
}

// PairEvidence is how the run times of a kind differ with another kind on the minion.
type PairEvidence struct {
	// Slowed and Other are indexes in Interference.Kinds.
	Slowed, Other int
	// Weight is the weight of the comparison, in hundredths of a run.
	Weight int
	// Difference is by how much the logarithm of measured over declared run time is larger
	// with the other kind than without it, in thousandths.
	Difference int
	// Variance is what else varies in that logarithm, in thousandths.
	Variance int
}
