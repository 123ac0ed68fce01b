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

// TestSystem_RunsTheExampleJobs submits both example jobs at one entry and
// again at the other: each task starts once, and the answers are the same.
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
		job := load(t, "../examples/jobs/"+file)
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
	for _, one := range system.Minions() {
		starts += len(one.Ledger())
	}
	must.EqOp(t, tasks, starts)
	begun := time.Now()
	must.NoError(t, system.Stop())
	must.Less(t, 20*time.Second, time.Since(begun))
}

func load(t *testing.T, path string) api.JobRequest {
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
	one, err := client.New(client.Options{BaseURLs: []string{url}, Token: "token"})
	must.NoError(t, err)
	defer one.Close()
	answer, err := one.Submit(t.Context(), job)
	must.NoError(t, err)
	return answer
}
