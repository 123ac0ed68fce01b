package command

import (
	"context"

	"github.com/figring/figring/api"
	"github.com/figring/figring/client"
)

const cancelLong = `Cancels a job: its waiting tasks are not started, and its running tasks are told
to stop. The job then fails as a whole, and its outcome says whether any task was
started. The exit code is 1 if the job ends as cancelled.

Examples:
  figring cancel 0197f0a2-0000-7000-8000-000000000001
  figring cancel --output json 0197f0a2-0000-7000-8000-000000000001`

type cancelCommand struct {
	streams *IO
	callerFlags
	Args jobKeyArgument `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *cancelCommand) Execute([]string) error {
	return c.call(c.streams, "cancelling job "+c.Args.Key, func(ctx context.Context, callerClient *client.Client) (*api.JobResponse, error) {
		return callerClient.Cancel(ctx, c.Args.Key)
	})
}
