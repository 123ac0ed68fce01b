package demo_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/figring/figring/api"
	"github.com/figring/figring/client"
	"github.com/figring/figring/common/identity"
	"github.com/figring/figring/demo"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestSystem_RunsTheExampleJobs submits both example jobs to one entry and then,
// with the same job keys, to the other. Each task must start exactly once, and
// both entries must return the same answer.
func TestSystem_RunsTheExampleJobs(t *testing.T) {
	system, err := demo.Start(t.Context(), demo.Options{
		Region:  "munich",
		Zones:   []string{"schwabing", "maxvorstadt", "garching"},
		Callers: []model.Caller{{Name: "desk", TokenHash: identity.Hash("token")}},
		Faults:  fault.Defaults(),
	})
	must.NoError(t, err)
	tasks := 0
	for _, file := range []string{"nomination-desk.json", "subscription-desk.json"} {
		job := loadJob(t, "../examples/jobs/"+file)
		tasks += len(job.Tasks)
		var answers []*api.JobResponse
		for _, url := range system.CallersURLs() {
			answers = append(answers, submit(t, url, &job))
		}
		must.EqOp(t, api.JobComplete, answers[0].State)
		must.SliceLen(t, len(job.Tasks), answers[0].Results)
		must.Eq(t, answers[0], answers[1])
	}
	starts := 0
	for _, standIn := range system.Minions() {
		starts += len(standIn.Ledger())
	}
	must.EqOp(t, tasks, starts)
	stopStarted := time.Now()
	must.NoError(t, system.Stop())
	must.Less(t, 20*time.Second, time.Since(stopStarted))
}

func loadJob(t *testing.T, path string) api.JobRequest {
	t.Helper()
	content, err := os.ReadFile(path)
	must.NoError(t, err)
	var job api.JobRequest
	must.NoError(t, json.Unmarshal(content, &job))
	job.Key = model.NewJobKey("desk").ID.String()
	return job
}

func submit(t *testing.T, url string, job *api.JobRequest) *api.JobResponse {
	t.Helper()
	caller, err := client.New(client.Options{BaseURLs: []string{url}, Token: "token"})
	must.NoError(t, err)
	defer caller.Close()
	answer, err := caller.Submit(t.Context(), job)
	must.NoError(t, err)
	return answer
}
