package claims

import "slices"

// group is the claims that share one write.
type group struct {
	claims []*Claim
	// sent is set, under the writer's lock, before the write starts.
	sent bool
	// done is closed once err holds the outcome.
	done chan struct{}
	err  error
}

func newGroup() *group {
	return &group{done: make(chan struct{})}
}

func (g *group) remove(claim *Claim) {
	g.claims = slices.DeleteFunc(g.claims, func(one *Claim) bool { return one == claim })
}

func (g *group) values() []Claim {
	values := make([]Claim, 0, len(g.claims))
	for _, claim := range g.claims {
		values = append(values, *claim)
	}
	return values
}

func (g *group) finish(err error) {
	g.err = err
	close(g.done)
}
