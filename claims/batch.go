package claims

import "slices"

// batch is a set of claims that are written as one row.
type batch struct {
	claims []*Claim
	// sent is set, under the writer's lock, before the write starts.
	sent bool
	// done is closed once err is set to the outcome of the write.
	done chan struct{}
	err  error
}

func newBatch() *batch {
	return &batch{done: make(chan struct{})}
}

func (b *batch) remove(claim *Claim) {
	b.claims = slices.DeleteFunc(b.claims, func(other *Claim) bool { return other == claim })
}

// values returns copies of the claims.
func (b *batch) values() []Claim {
	values := make([]Claim, 0, len(b.claims))
	for _, claim := range b.claims {
		values = append(values, *claim)
	}
	return values
}

// finish wakes the callers of Append that wait for the batch.
func (b *batch) finish(err error) {
	b.err = err
	close(b.done)
}
