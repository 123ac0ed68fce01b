package api

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/strictjson"
	"github.com/figring/figring/model"
)

var jobSeeds = []string{
	`{"key":"0197f0a2-0000-7000-8000-000000000001","tasks":[{"class":"a"}]}`,
	`{"key":"0197f0a2-0000-7000-8000-000000000001","idempotent":true,"timeoutMs":20000,"tasks":[{"class":"a","payload":{"x":[1,2]},"declaredRunMs":50,"declaredSizeBytes":9}]}`,
	`{"key":"6f9619ff-8b86-4011-b42d-00c04fc964ff","tasks":[{"class":"a"}]}`,
	`{"key":"","timeoutMs":-1,"tasks":[]}`,
	`{"key":"0197f0a2-0000-7000-8000-000000000001","tasks":[{"class":"a"}],"more":1}`,
	`{"key":"0197f0a2-0000-7000-8000-000000000001","tasks":[{"class":"a","declaredRunMs":9223372036854775807}]}`,
	`null`, `[]`, `{`, ``,
}

// FuzzJobRequest checks that an accepted job is within every limit, and that a
// refused one has the code CodeInvalid and the outcome NotRun.
func FuzzJobRequest(f *testing.F) {
	for _, seed := range jobSeeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var request JobRequest
		if strictjson.Unmarshal(body, &request) != nil {
			return
		}
		checkSpec(t, &request)
	})
}

// FuzzSingleRequest makes the checks of FuzzJobRequest for single requests.
func FuzzSingleRequest(f *testing.F) {
	f.Add([]byte(`{"class":"a"}`))
	f.Add([]byte(`{"class":"a","key":"0197f0a2-0000-7000-8000-000000000001","idempotent":true,"timeoutMs":5,"payload":"x"}`))
	f.Add([]byte(`{"class":"","timeoutMs":-5,"declaredSizeBytes":-1}`))
	f.Add([]byte(`{"class":"a","payload":`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var request SingleRequest
		if strictjson.Unmarshal(body, &request) != nil {
			return
		}
		job := request.Job("caller")
		must.SliceLen(t, 1, job.Tasks)
		checkSpec(t, &job)
	})
}

func checkSpec(t *testing.T, request *JobRequest) {
	t.Helper()
	spec, refusal := request.Spec("caller")
	if refusal != nil {
		must.EqOp(t, model.CodeInvalid, refusal.Code)
		must.EqOp(t, model.NotRun, refusal.Outcome)
		must.SliceEmpty(t, spec.Tasks)
		return
	}
	must.EqOp(t, "caller", spec.Key.Caller)
	must.Between(t, 1, len(spec.Tasks), model.MaxTasksPerJob)
	must.True(t, spec.Timeout > 0 && spec.Timeout <= MaxTimeout)
	for _, task := range spec.Tasks {
		must.Between(t, 1, len(task.Class), MaxClassLength)
		must.True(t, len(task.Payload) <= MaxPayloadBytes)
		must.True(t, len(task.Payload) == 0 || json.Valid(task.Payload))
		must.True(t, task.DeclaredRun >= 0 && task.DeclaredRun <= MaxDeclaredRun)
		must.True(t, task.DeclaredSize >= 0 && task.DeclaredSize <= MaxDeclaredSize)
	}
}
