package minion

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// FuzzRequest checks that headers accepted by parseHeaders include a job, and that
// any payload results in a run time between zero and one hour and in a response
// body.
func FuzzRequest(f *testing.F) {
	f.Add("caller/key", "3", "1", "1790000000000000000", []byte(`{"runMs":5}`))
	f.Add("", "x", "-", "soon", []byte(`{"runMs":-1e300,"output":""}`))
	f.Add("j", "0", "", "", []byte(`{"candidate":"C-1"}`))
	f.Fuzz(func(t *testing.T, job, task, attempt, startBefore string, body []byte) {
		header := http.Header{HeaderJob: {job}, HeaderTask: {task}, HeaderAttempt: {attempt}, HeaderStartBefore: {startBefore}}
		parsed, err := parseHeaders(header)
		if err == nil {
			must.NotEq(t, "", parsed.job)
		}
		decoded := parsePayload(body)
		duration := decoded.runTime(DefaultRun, 1)
		must.True(t, duration >= 0 && duration <= time.Hour)
		must.NotNil(t, decoded.responseBody("eligibility", body))
	})
}
