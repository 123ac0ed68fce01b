package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/identity"
	"github.com/figring/figring/common/problem"
	"github.com/figring/figring/demo"
	"github.com/figring/figring/model"
	"github.com/figring/figring/operatorclient"
	"github.com/figring/figring/settings"
	"github.com/figring/figring/store/fault"
)

const (
	testCallerToken         = "caller-token"
	testOperatorToken       = "anna-token"
	testSecondOperatorToken = "bert-token"
	// testMaxBodyBytes is the limit of a caller's request body in these tests.
	testMaxBodyBytes = 1 << 20
	// expiredKey has a timestamp in 2024 and futureKey one in 2063. randomKey is a
	// version 4 UUID, which has no timestamp.
	expiredKey = "01900000-0000-7000-8000-000000000001"
	futureKey  = "02b00000-0000-7000-8000-000000000001"
	randomKey  = "6f9619ff-8b86-4011-b42d-00c04fc964ff"
)

// newSystem starts a demo system with one caller, two operators and three minions.
func newSystem(t *testing.T) *demo.System {
	t.Helper()
	operators := []settings.Operator{
		{Name: "anna", TokenHash: identity.Hash(testOperatorToken)},
		{Name: "bert", TokenHash: identity.Hash(testSecondOperatorToken)},
	}
	system, err := demo.Start(t.Context(), demo.Options{
		Region:       "munich",
		Zones:        demoZones,
		Minions:      3,
		Callers:      []model.Caller{{Name: "desk", TokenHash: identity.Hash(testCallerToken)}},
		Operators:    operatorHandlerFactory(demoZones, operators),
		Faults:       fault.Defaults(),
		MaxBodyBytes: testMaxBodyBytes,
	})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, system.Stop()) })
	return system
}

// countStarts returns the number of tasks started on all minions.
func countStarts(system *demo.System) int {
	starts := 0
	for _, minion := range system.Minions() {
		starts += len(minion.Ledger())
	}
	return starts
}

func newKey() string { return model.NewJobKey("").ID.String() }

// jobBody returns the request body of a job with the given number of 1 ms tasks.
func jobBody(key string, tasks int) string {
	task := `{"class":"eligibility","payload":{"runMs":1}}`
	list := strings.TrimSuffix(strings.Repeat(task+",", tasks), ",")
	return fmt.Sprintf(`{"key":%q,"tasks":[%s]}`, key, list)
}

// jobBodyWithFields returns the request body of a job with one task and
// additional fields in the job and in the task.
func jobBodyWithFields(jobFields, taskFields string) string {
	return fmt.Sprintf(`{"key":%q%s,"tasks":[{"class":"eligibility","payload":{"runMs":1}%s}]}`, newKey(), jobFields, taskFields)
}

// send makes a request and returns its status, with the problem details unless the
// status is 200.
func send(t *testing.T, method, url, token, body string) (int, problem.Details) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	must.NoError(t, err)
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	var details problem.Details
	if response.StatusCode != http.StatusOK {
		must.EqOp(t, problem.ContentType, response.Header.Get("Content-Type"))
		must.NoError(t, json.Unmarshal(content, &details), must.Sprint(string(content)))
	}
	return response.StatusCode, details
}

// TestCallerAPIRejectsBadInput sends invalid requests to the caller API of a running
// entry. Each must be refused with its problem code, and no minion may start a task.
func TestCallerAPIRejectsBadInput(t *testing.T) {
	system := newSystem(t)
	base := system.CallersURLs()[0]
	usedKey := newKey()
	status, _ := send(t, "POST", base+"/v1/jobs", testCallerToken, jobBody(usedKey, 2))
	must.EqOp(t, http.StatusOK, status)

	validBody := jobBody(newKey(), 1)
	longText := strings.Repeat("x", 300<<10)
	cases := []struct {
		name, method, path, token, body string
		status                          int
		code                            model.Code
	}{
		{"no token", "POST", "/v1/jobs", "", validBody, 401, model.CodeUnauthenticated},
		{"wrong token", "POST", "/v1/jobs", "wrong", validBody, 401, model.CodeUnauthenticated},
		{"operator's token", "POST", "/v1/jobs", testOperatorToken, validBody, 401, model.CodeUnauthenticated},
		{"wrong token at show", "GET", "/v1/jobs/" + usedKey, "wrong", "", 401, model.CodeUnauthenticated},
		{"wrong token at cancel", "DELETE", "/v1/jobs/" + usedKey, "wrong", "", 401, model.CodeUnauthenticated},
		{"unknown path", "POST", "/v1/job", testCallerToken, validBody, 404, model.CodeNotFound},
		{"empty body", "POST", "/v1/jobs", testCallerToken, "", 400, model.CodeInvalid},
		{"truncated", "POST", "/v1/jobs", testCallerToken, validBody[:len(validBody)-3], 400, model.CodeInvalid},
		{"malformed", "POST", "/v1/jobs", testCallerToken, strings.Replace(validBody, ":", "=", 1), 400, model.CodeInvalid},
		{"not JSON", "POST", "/v1/jobs", testCallerToken, "\x00\xff\xfe", 400, model.CodeInvalid},
		{"null", "POST", "/v1/jobs", testCallerToken, "null", 400, model.CodeInvalid},
		{"a list", "POST", "/v1/jobs", testCallerToken, "[" + validBody + "]", 400, model.CodeInvalid},
		{"two values", "POST", "/v1/jobs", testCallerToken, validBody + validBody, 400, model.CodeInvalid},
		{"unknown field", "POST", "/v1/jobs", testCallerToken, jobBodyWithFields(`,"priority":1`, ""), 400, model.CodeInvalid},
		{"wrong type", "POST", "/v1/jobs", testCallerToken, jobBodyWithFields(`,"timeoutMs":"1"`, ""), 400, model.CodeInvalid},
		{"461 tasks", "POST", "/v1/jobs", testCallerToken, jobBody(newKey(), model.MaxTasksPerJob+1), 400, model.CodeInvalid},
		{"empty job", "POST", "/v1/jobs", testCallerToken, jobBody(newKey(), 0), 400, model.CodeInvalid},
		{"no key", "POST", "/v1/jobs", testCallerToken, jobBody("", 1), 400, model.CodeInvalid},
		{"malformed key", "POST", "/v1/jobs", testCallerToken, jobBody("job-1", 1), 400, model.CodeInvalid},
		{"random key", "POST", "/v1/jobs", testCallerToken, jobBody(randomKey, 1), 400, model.CodeInvalid},
		{"key in the future", "POST", "/v1/jobs", testCallerToken, jobBody(futureKey, 1), 400, model.CodeInvalid},
		{"expired key", "POST", "/v1/jobs", testCallerToken, jobBody(expiredKey, 1), 410, model.CodeKeyExpired},
		{"reused key with another body", "POST", "/v1/jobs", testCallerToken, jobBody(usedKey, 3), 409, model.CodeKeyConflict},
		{"negative timeout", "POST", "/v1/jobs", testCallerToken, jobBodyWithFields(`,"timeoutMs":-1`, ""), 400, model.CodeInvalid},
		{"excessive timeout", "POST", "/v1/jobs", testCallerToken, jobBodyWithFields(`,"timeoutMs":9223372036854775807`, ""), 400, model.CodeInvalid},
		{"timeout beyond int64", "POST", "/v1/jobs", testCallerToken, jobBodyWithFields(`,"timeoutMs":1e300`, ""), 400, model.CodeInvalid},
		{"negative run time", "POST", "/v1/jobs", testCallerToken, jobBodyWithFields("", `,"declaredRunMs":-5`), 400, model.CodeInvalid},
		{"excessive run time", "POST", "/v1/jobs", testCallerToken, jobBodyWithFields("", `,"declaredRunMs":9223372036854775807`), 400, model.CodeInvalid},
		{"negative size", "POST", "/v1/jobs", testCallerToken, jobBodyWithFields("", `,"declaredSizeBytes":-5`), 400, model.CodeInvalid},
		{"excessive size", "POST", "/v1/jobs", testCallerToken, jobBodyWithFields("", `,"declaredSizeBytes":9223372036854775807`), 400, model.CodeInvalid},
		{"empty class", "POST", "/v1/jobs", testCallerToken, strings.Replace(validBody, "eligibility", "", 1), 400, model.CodeInvalid},
		{"long class", "POST", "/v1/jobs", testCallerToken, strings.Replace(validBody, "eligibility", longText[:65], 1), 400, model.CodeInvalid},
		{"oversized payload", "POST", "/v1/jobs", testCallerToken, strings.Replace(validBody, `{"runMs":1}`, `"`+longText+`"`, 1), 400, model.CodeInvalid},
		{"oversized body", "POST", "/v1/jobs", testCallerToken, strings.Repeat(" ", testMaxBodyBytes) + validBody, 413, model.CodeTooLarge},
		{"request: truncated", "POST", "/v1/requests", testCallerToken, `{"class":"eligib`, 400, model.CodeInvalid},
		{"request: tasks", "POST", "/v1/requests", testCallerToken, validBody, 400, model.CodeInvalid},
		{"request: no class", "POST", "/v1/requests", testCallerToken, `{}`, 400, model.CodeInvalid},
		{"request: negative timeout", "POST", "/v1/requests", testCallerToken, `{"class":"a","timeoutMs":-1}`, 400, model.CodeInvalid},
		{"request: oversized body", "POST", "/v1/requests", testCallerToken, strings.Repeat(" ", testMaxBodyBytes+1), 413, model.CodeTooLarge},
		{"show: malformed key", "GET", "/v1/jobs/job-1", testCallerToken, "", 400, model.CodeInvalid},
		{"show: negative wait", "GET", "/v1/jobs/" + usedKey + "?wait=-1", testCallerToken, "", 400, model.CodeInvalid},
		{"show: excessive wait", "GET", "/v1/jobs/" + usedKey + "?wait=99999999999999999999", testCallerToken, "", 400, model.CodeInvalid},
		{"show: unknown job", "GET", "/v1/jobs/" + newKey(), testCallerToken, "", 404, model.CodeNotFound},
		{"cancel: malformed key", "DELETE", "/v1/jobs/job-1", testCallerToken, "", 400, model.CodeInvalid},
		{"cancel: unknown job", "DELETE", "/v1/jobs/" + newKey(), testCallerToken, "", 404, model.CodeNotFound},
	}
	starts := countStarts(system)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			status, details := send(t, tc.method, base+tc.path, tc.token, tc.body)
			must.EqOp(t, tc.code, details.Code, must.Sprint(details.Detail))
			must.EqOp(t, tc.status, status)
			must.EqOp(t, tc.status, details.Status)
			must.EqOp(t, expectedOutcome(tc.code), details.Outcome)
			must.NotEq(t, "", details.Detail)
			must.EqOp(t, starts, countStarts(system))
		})
	}

	status, _ = send(t, "GET", base+"/v1/jobs/"+usedKey, testCallerToken, "")
	must.EqOp(t, http.StatusOK, status)
	status, _ = send(t, "POST", base+"/v1/jobs", testCallerToken, jobBody(newKey(), 2))
	must.EqOp(t, http.StatusOK, status)
	must.EqOp(t, starts+2, countStarts(system))
}

// expectedOutcome returns the outcome that a refusal of invalid input must report.
// It is unknown for an expired key, because an earlier submission may have run the
// job.
func expectedOutcome(code model.Code) model.Outcome {
	if code == model.CodeKeyExpired {
		return model.Unknown
	}
	return model.NotRun
}

// TestOperatorAPIRejectsBadInput sends invalid requests to the operator API of a
// running entry. Each must be refused with its problem code, and the bundle in force
// must not change.
func TestOperatorAPIRejectsBadInput(t *testing.T) {
	system := newSystem(t)
	base := system.OperatorsURLs()[0]
	client := operatorclient.New([]string{base}, testOperatorToken)
	defer client.Close()
	_, err := client.DrainTarget(t.Context(), "sidecar-9", nil)
	must.NoError(t, err)
	versionBefore := versionInForce(t, client)
	must.EqOp(t, 2, versionBefore)

	bundleBody := func(version int) string {
		return fmt.Sprintf(`{"version":%d,"closedZones":[],"drainedTargets":[],"drainedEntries":[],"callers":[],"limits":{}}`, version)
	}
	cases := []struct {
		name, method, path, token, body string
		status                          int
		code                            model.Code
	}{
		{"no token", "POST", "/v1/bundles", "", bundleBody(2), 401, model.CodeUnauthenticated},
		{"wrong token", "POST", "/v1/zones/garching/close", "wrong", "", 401, model.CodeUnauthenticated},
		{"caller's token", "POST", "/v1/zones/garching/close", testCallerToken, "", 401, model.CodeUnauthenticated},
		{"unknown zone", "POST", "/v1/zones/tt-south-a/close", testOperatorToken, "", 400, model.CodeInvalid},
		{"unknown zone in a bundle", "POST", "/v1/bundles", testOperatorToken, strings.Replace(bundleBody(2), `"closedZones":[]`, `"closedZones":["moon"]`, 1), 400, model.CodeInvalid},
		{"lower version", "POST", "/v1/bundles", testOperatorToken, bundleBody(1), 409, model.CodeVersionConflict},
		{"higher version", "POST", "/v1/bundles", testOperatorToken, bundleBody(9), 409, model.CodeVersionConflict},
		{"negative version", "POST", "/v1/bundles", testOperatorToken, bundleBody(-1), 409, model.CodeVersionConflict},
		{"lower base of an edit", "POST", "/v1/zones/garching/close", testOperatorToken, `{"base":1}`, 409, model.CodeVersionConflict},
		{"truncated", "POST", "/v1/bundles", testOperatorToken, bundleBody(2)[:30], 400, model.CodeInvalid},
		{"malformed", "POST", "/v1/bundles", testOperatorToken, strings.Replace(bundleBody(2), ":", "=", 1), 400, model.CodeInvalid},
		{"missing fields", "POST", "/v1/bundles", testOperatorToken, `{"version":2}`, 400, model.CodeInvalid},
		{"negative time", "POST", "/v1/bundles", testOperatorToken, strings.Replace(bundleBody(2), `"limits":{}`, `"limits":{"maxTimeout":-1}`, 1), 400, model.CodeInvalid},
		{"oversized body", "POST", "/v1/bundles", testOperatorToken, strings.Repeat(" ", 5<<20) + bundleBody(2), 413, model.CodeTooLarge},
		{"unknown proposal", "POST", "/v1/bundles/none/roll-out", testOperatorToken, "", 404, model.CodeNotFound},
		{"unknown action", "POST", "/v1/entries/entry-1/stop", testOperatorToken, "", 404, model.CodeNotFound},
		{"caller with a negative weight", "PUT", "/v1/callers/desk", testOperatorToken, `{"weight":-1}`, 400, model.CodeInvalid},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			status, details := send(t, tc.method, base+tc.path, tc.token, tc.body)
			must.EqOp(t, tc.code, details.Code, must.Sprint(details.Detail))
			must.EqOp(t, tc.status, status)
			must.EqOp(t, model.NotRun, details.Outcome)
			must.NotEq(t, "", details.Detail)
			must.EqOp(t, versionBefore, versionInForce(t, client))
			must.EqOp(t, 0, countStarts(system))
		})
	}
	proposals, err := client.Proposals(t.Context(), "")
	must.NoError(t, err)
	must.SliceLen(t, 1, proposals, must.Sprint("only the proposal of the initial roll-out"))
	_, err = client.Propose(t.Context(), model.Bundle{
		Version: versionBefore, ClosedZones: []string{}, DrainedTargets: []string{}, DrainedEntries: []string{}, Callers: []model.Caller{},
	})
	must.NoError(t, err)
}

// versionInForce returns the stored version in force, which is that of the last
// entry in the history.
func versionInForce(t *testing.T, client *operatorclient.Client) int64 {
	t.Helper()
	history, err := client.History(context.WithoutCancel(t.Context()), 0)
	must.NoError(t, err)
	must.SliceNotEmpty(t, history)
	return history[len(history)-1].Version
}
