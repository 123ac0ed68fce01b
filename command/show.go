package command

import (
	"context"
	"time"

	"github.com/figring/figring/api"
	"github.com/figring/figring/client"
)

const showLong = `Shows the state of a job, and its answer once it has ended. With --wait it waits
for that time until the job ends. A job is known for ten minutes after its key
was generated.

Examples:
  figring show 0197f0a2-0000-7000-8000-000000000001
  figring show --wait 30s --output json 0197f0a2-0000-7000-8000-000000000001`

type showCommand struct {
	streams *IO
	callerFlags
	Wait time.Duration  `long:"wait" value-name:"TIME" default:"0s" description:"how long to wait for the job to end"`
	Args jobKeyArgument `positional-args:"true"`
}

// jobKeyArgument is the positional argument that names a job.
type jobKeyArgument struct {
	Key string `positional-arg-name:"KEY" required:"true"`
}

// Execute implements flags.Commander.
func (c *showCommand) Execute([]string) error {
	return c.call(c.streams, "waiting for job "+c.Args.Key, func(ctx context.Context, callerClient *client.Client) (*api.JobResponse, error) {
		return callerClient.Show(ctx, c.Args.Key, c.Wait)
	})
}
