package request

import "github.com/figring/figring/model"

// dispatch is one dispatch of the request. Its attempt is its position + 1.
type dispatch struct {
	sidecar model.Incarnation
	open    bool
	// outcome is what is known about whether the dispatch was run. It is
	// unknown while the dispatch is open.
	outcome model.Outcome
}
