package runner

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/figring/figring/api"
	"github.com/figring/figring/loadgen/trace"
	"github.com/figring/figring/model"
)

// newBody returns the request for a job with a new key. The creation time in
// the key counts as the submission time, so the key is created when the job is
// sent. The stand-in minions read the true run time from the payload.
func newBody(job *trace.Job, timeout time.Duration) *api.JobRequest {
	body := &api.JobRequest{
		Key:        model.NewJobKey(job.Caller).ID.String(),
		Idempotent: job.Idempotent,
		TimeoutMs:  timeout.Milliseconds(),
	}
	for i, task := range job.Tasks {
		body.Tasks = append(body.Tasks, api.TaskRequest{
			Class:         task.Class,
			Payload:       json.RawMessage(fmt.Sprintf(`{"runMs":%d,"output":"%d"}`, task.Run.Milliseconds(), i)),
			DeclaredRunMs: task.Declared.Milliseconds(),
		})
	}
	return body
}
