package command

import (
	"context"
	"fmt"

	"github.com/figring/figring/api"
	"github.com/figring/figring/client"
)

const submitLong = `Submits a job and prints its complete answer. After a lost answer, or a refusal
with a retry time, the job is resubmitted with the same key, which starts no task
a second time. If the file has no key, a new one is generated and printed with
the answer. Use --key to submit the same job again.

Examples:
  export FIGRING_TOKEN=caller-token
  figring submit examples/jobs/nomination-desk.json
  figring submit --entry http://127.0.0.1:8080 --entry http://127.0.0.1:8090 \
      --output json examples/jobs/subscription-desk.json
  figring submit --key 0197f0a2-0000-7000-8000-000000000001 job.json`

type submitCommand struct {
	streams *IO
	callerFlags
	Key  string `long:"key" value-name:"UUID" description:"key of the job, a UUID of version 7, in place of the one in the file"`
	Once bool   `long:"once" description:"submit once, without resubmission"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *submitCommand) Execute([]string) error {
	job, err := loadJob(c.Args.File, c.Key)
	if err != nil {
		return err
	}
	activity := fmt.Sprintf("job %s: %d tasks submitted", job.Key, len(job.Tasks))
	return c.call(c.streams, activity, func(ctx context.Context, callerClient *client.Client) (*api.JobResponse, error) {
		if c.Once {
			return callerClient.SubmitOnce(ctx, job)
		}
		return callerClient.Submit(ctx, job)
	})
}
