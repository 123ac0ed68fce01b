package request

import "github.com/figring/figring/model"

// dispatch is one dispatch of the request. Its attempt number is its index in
// Request.dispatches plus 1.
type dispatch struct {
	sidecar model.Incarnation
	open    bool
	// outcome states whether the dispatch was run, as far as known. It is
	// Unknown while the dispatch is open.
	outcome model.Outcome
}
