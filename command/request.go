package command

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/figring/figring/api"
	"github.com/figring/figring/client"
)

const requestLong = `Runs a single request, a task outside a job, and prints its answer. Without
--idempotent it runs at most once.

Examples:
  figring request --class eligibility --payload '{"candidate":"C-2041","runMs":50}'
  figring request --class renewal --idempotent --timeout 2s --payload '{"subscription":"S-1"}'`

type requestCommand struct {
	streams *IO
	callerFlags
	Class      string        `long:"class" value-name:"NAME" required:"true" description:"class of the task"`
	Payload    string        `long:"payload" value-name:"JSON" default:"{}" description:"payload sent to the minion"`
	Key        string        `long:"key" value-name:"UUID" description:"key that identifies a resubmission"`
	Idempotent bool          `long:"idempotent" description:"allow a second run when the first one may have happened"`
	Timeout    time.Duration `long:"timeout" value-name:"TIME" default:"0s" description:"timeout for the answer; 0s for the default"`
}

// Execute implements flags.Commander.
func (c *requestCommand) Execute([]string) error {
	if !json.Valid([]byte(c.Payload)) {
		return usageError(errors.New("--payload is not JSON"))
	}
	request := &api.SingleRequest{
		Key:        c.Key,
		Idempotent: c.Idempotent,
		TimeoutMs:  c.Timeout.Milliseconds(),
		Class:      c.Class,
		Payload:    json.RawMessage(c.Payload),
	}
	return c.call(c.streams, "request submitted", func(ctx context.Context, callerClient *client.Client) (*api.JobResponse, error) {
		return callerClient.Request(ctx, request)
	})
}
