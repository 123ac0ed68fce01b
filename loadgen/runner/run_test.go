package runner

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/api"
	"github.com/figring/figring/loadgen/trace"
	"github.com/figring/figring/model"
)

func testJobs(count int, apart time.Duration) []trace.Job {
	var jobs []trace.Job
	for i := range count {
		jobs = append(jobs, trace.Job{
			At:     time.Duration(i) * apart,
			Caller: "desk",
			Tasks:  []trace.Task{{Class: "eligibility", Run: time.Millisecond}},
		})
	}
	return jobs
}

func options(targets ...string) Options {
	return Options{Targets: targets, Tokens: map[string]string{"desk": "token"}}
}

func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func complete(w http.ResponseWriter, r *http.Request) {
	var body api.JobRequest
	_ = json.NewDecoder(r.Body).Decode(&body)
	_ = json.NewEncoder(w).Encode(api.JobResponse{Key: body.Key, State: api.JobComplete, Outcome: model.Run})
}

func refuse(w http.ResponseWriter, retryAfterMs int) {
	w.WriteHeader(http.StatusTooManyRequests)
	_ = json.NewEncoder(w).Encode(map[string]any{"code": model.CodeOverloaded, "outcome": model.NotRun, "retryAfterMs": retryAfterMs})
}

// TestLatencyCountsFromIntendedTime guards against a closed-loop runner. The
// server answers no job until all have arrived, so a runner that waits for a
// response before it sends the next job never finishes. The response time of
// the first job includes its wait for the last one.
func TestLatencyCountsFromIntendedTime(t *testing.T) {
	const count, apart = 10, 5 * time.Millisecond
	var arrived sync.WaitGroup
	arrived.Add(count)
	url := serve(t, func(w http.ResponseWriter, r *http.Request) {
		arrived.Done()
		arrived.Wait()
		complete(w, r)
	})
	result, err := Run(t.Context(), testJobs(count, apart), options(url))
	must.NoError(t, err)
	must.Eq(t, map[string]int{CodeComplete: count}, result.Codes)
	for i := range result.Outcomes {
		outcome := &result.Outcomes[i]
		must.Eq(t, int64(i)*int64(apart), outcome.IntendedNs)
		must.GreaterEq(t, time.Duration(count-1-i)*apart, outcome.Response())
		must.GreaterEq(t, outcome.SentLateNs, int64(outcome.Response()))
	}
	histogram := result.Responses[Series{Caller: "desk", Class: "eligibility"}]
	must.Eq(t, count, histogram.Count())
	must.GreaterEq(t, (count-1)*apart, histogram.Max())
}

func TestRetryAfterIsHonoured(t *testing.T) {
	var calls atomic.Int64
	url := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			refuse(w, 20)
			return
		}
		complete(w, r)
	})
	wanted := options(url)
	wanted.Retry = true
	result, err := Run(t.Context(), testJobs(1, 0), wanted)
	must.NoError(t, err)
	must.Eq(t, 2, result.Outcomes[0].Tries)
	must.Eq(t, 1, result.Refusals.Count())
	must.Eq(t, 0, result.WithoutRetryAfter)
	must.GreaterEq(t, 20*time.Millisecond, result.Outcomes[0].Response())
}

func TestRefusalsAreCounted(t *testing.T) {
	url := serve(t, func(w http.ResponseWriter, _ *http.Request) { refuse(w, 0) })
	result, err := Run(t.Context(), testJobs(3, 0), options(url))
	must.NoError(t, err)
	must.Eq(t, map[string]int{string(model.CodeOverloaded): 3}, result.Codes)
	must.Eq(t, 3, result.WithoutRetryAfter)
	must.MapEmpty(t, result.Responses)
}

// TestResubmission checks that a resubmission goes to the other target with the
// same key and that a differing response is counted.
func TestResubmission(t *testing.T) {
	var keys sync.Map
	handler := func(detail string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			var body api.JobRequest
			_ = json.NewDecoder(r.Body).Decode(&body)
			keys.Store(detail, body.Key)
			_ = json.NewEncoder(w).Encode(api.JobResponse{Key: body.Key, State: api.JobComplete, Detail: detail})
		}
	}
	jobs := testJobs(1, 0)
	jobs[0].ResubmitAfter = time.Millisecond
	result, err := Run(t.Context(), jobs, options(serve(t, handler("first")), serve(t, handler("second"))))
	must.NoError(t, err)
	must.Eq(t, map[string]int{CodeComplete: 1}, result.Resubmits)
	must.Eq(t, 1, result.Mismatches)
	first, _ := keys.Load("first")
	second, _ := keys.Load("second")
	must.Eq(t, first, second)
}

func TestCancellation(t *testing.T) {
	ended := make(chan struct{})
	url := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			close(ended)
		}
		<-ended
		complete(w, r)
	})
	jobs := testJobs(1, 0)
	jobs[0].CancelAfter = time.Millisecond
	result, err := Run(t.Context(), jobs, options(url))
	must.NoError(t, err)
	must.Eq(t, map[string]int{CodeComplete: 1}, result.Codes)
}

func TestOnlyLoopbackTargetsAreAccepted(t *testing.T) {
	for _, target := range []string{
		"http://10.0.0.1:80", "http://localhost:80", "http://[::1]:80", "http://128.0.0.1:80",
		"https://127.0.0.1:80", "http://example.org", "127.0.0.1:80", "http://127.0.0.1.example.org",
	} {
		must.True(t, Error.Has(CheckTarget(target)), must.Sprint(target))
		_, err := Run(t.Context(), testJobs(1, 0), options("http://127.0.0.1:1", target))
		must.Error(t, err)
	}
	must.NoError(t, CheckTarget("http://127.0.0.1:8080"))
	must.NoError(t, CheckTarget("http://127.1.2.3:8080/base"))
}

func TestRedirectsAreNotFollowed(t *testing.T) {
	url := serve(t, func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://127.0.0.1:1/", http.StatusTemporaryRedirect)
	})
	result, err := Run(t.Context(), testJobs(1, 0), options(url))
	must.NoError(t, err)
	must.Eq(t, map[string]int{CodeLost: 1}, result.Codes)
}

func TestRunsAreBounded(t *testing.T) {
	late := testJobs(1, 0)
	late[0].At = MaxDuration + 1
	unknown := testJobs(1, 0)
	unknown[0].Caller = "somebody"
	for _, jobs := range [][]trace.Job{nil, late, unknown} {
		_, err := Run(t.Context(), jobs, options("http://127.0.0.1:1"))
		must.Error(t, err)
	}
}
