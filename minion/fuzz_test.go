package minion

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// FuzzRequest checks that headers are parsed whole or refused, and that any
// payload has a run time within its bounds and an answer.
func FuzzRequest(f *testing.F) {
	f.Add("caller/key", "3", "1", "1790000000000000000", []byte(`{"runMs":5}`))
	f.Add("", "x", "-", "soon", []byte(`{"runMs":-1e300,"output":""}`))
	f.Add("j", "0", "", "", []byte(`{"candidate":"C-1"}`))
	f.Fuzz(func(t *testing.T, job, task, attempt, bound string, body []byte) {
		header := http.Header{HeaderJob: {job}, HeaderTask: {task}, HeaderAttempt: {attempt}, HeaderStartBefore: {bound}}
		parsed, err := parseHeaders(header)
		if err == nil {
			must.NotEq(t, "", parsed.job)
		}
		said := parsePayload(body)
		run := said.runTime(DefaultRun, 1)
		must.True(t, run >= 0 && run <= time.Hour)
		must.NotNil(t, said.answer("eligibility", body))
	})
}
