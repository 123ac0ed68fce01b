package client

import (
	"errors"
	"fmt"

	"github.com/figring/figring/model"
)

// ErrTransport means that no complete response arrived. The outcome is unknown; a
// resubmission with the same key finds it out.
var ErrTransport = errors.New("no complete response")

// Problem is a refusal or a failure that the server reported.
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
// answer, which is the case when the server gave a retry delay.
func (p *Problem) Retryable() bool {
	return p.RetryAfterMs > 0
}
