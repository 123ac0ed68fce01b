package operatorclient

import (
	"errors"
	"fmt"

	"github.com/figring/figring/common/problem"
)

// ErrTransport means that no complete response arrived. The change may have been
// made.
var ErrTransport = errors.New("no complete response")

// Problem is an RFC 9457 problem that the operator API returned.
type Problem struct {
	problem.Details
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Code, p.Outcome, p.Detail)
}
