package operatorclient

import (
	"errors"
	"fmt"

	"github.com/figring/figring/common/problem"
)

// ErrTransport means that no whole answer arrived: a change may have been made.
var ErrTransport = errors.New("no whole answer")

// Problem is a refusal as the interface told it.
type Problem struct {
	problem.Details
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Code, p.Outcome, p.Detail)
}
