package client

import (
	"errors"
	"fmt"

	"github.com/figring/figring/model"
)

// ErrTransport means that no whole answer arrived: the outcome is unknown and
// a resubmission with the same key is the way to find it out.
var ErrTransport = errors.New("no whole answer")

// Problem is a refusal or a failure as the interface told it.
type Problem struct {
	Status       int           `json:"status"`
	Title        string        `json:"title"`
	Code         model.Code    `json:"code"`
	Outcome      model.Outcome `json:"outcome"`
	Detail       string        `json:"detail"`
	RetryAfterMs int64         `json:"retryAfterMs"`
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Code, p.Outcome, p.Detail)
}

// Retryable reports whether a resubmission with the same key can still get an
// answer: the interface named a time to come back.
func (p *Problem) Retryable() bool {
	return p.RetryAfterMs > 0
}
