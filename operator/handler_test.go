package operator

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/figring/figring/common/problem"
	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
	"github.com/figring/figring/rollout"
	"github.com/figring/figring/store"
)

const validBundle = `{"version":0,"closedZones":[],"drainedTargets":[],"drainedEntries":[],"callers":[],"limits":{"queuedTasks":9}}`

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func TestProposeSignOffAndRollOut(t *testing.T) {
	r := newTestAPI(t)
	var proposal bundle.Proposal
	response := r.send("anna", "POST", "/v1/bundles", validBundle, &proposal)
	must.EqOp(t, http.StatusCreated, response.StatusCode)
	path := response.Header.Get("Location")
	must.EqOp(t, "/v1/bundles/"+proposal.ID, path)

	var refused problem.Details
	response = r.send("anna", "POST", path+"/sign-off", "", &refused)
	must.EqOp(t, http.StatusForbidden, response.StatusCode)
	response = r.send("anna", "POST", path+"/roll-out", "", &refused)
	must.EqOp(t, http.StatusConflict, response.StatusCode)

	response = r.send("bert", "POST", path+"/sign-off", "", &proposal)
	must.EqOp(t, http.StatusOK, response.StatusCode)
	must.EqOp(t, "bert", proposal.SignedOffBy)
	var accepted rollout.ChangeResult
	response = r.send("anna", "POST", path+"/roll-out", "{}", &accepted)
	must.EqOp(t, http.StatusOK, response.StatusCode)
	must.EqOp(t, 1, accepted.Version)

	var current bundleResponse
	r.send("bert", "GET", "/v1/bundle", "", &current)
	must.EqOp(t, 9, current.Bundle.Limits.QueuedTasks)
	must.True(t, current.Fresh)
	must.Between(t, 1, current.FreshForMs, model.BundleTTL.Milliseconds())
	must.False(t, current.InForceEverywhere)
	var inForce inForceResponse
	r.send("bert", "GET", "/v1/bundle/in-force?version=1", "", &inForce)
	must.Eq(t, inForceResponse{Version: 1}, inForce)
	var history []rollout.HistoryEntry
	r.send("bert", "GET", "/v1/bundles/history?from=1&limit=5", "", &history)
	must.EqOp(t, proposal.ID, history[0].Proposal)
	var list []bundle.Proposal
	r.send("bert", "GET", "/v1/bundles", "", &list)
	must.EqOp(t, bundle.RolledOut, list[0].State)
	r.send("bert", "GET", path, "", &proposal)
	must.EqOp(t, bundle.RolledOut, proposal.State)
}

func TestRejectedProposal(t *testing.T) {
	r := newTestAPI(t)
	var proposal bundle.Proposal
	path := r.send("anna", "POST", "/v1/bundles", validBundle, &proposal).Header.Get("Location")
	r.send("bert", "POST", path+"/reject", "", &proposal)
	must.EqOp(t, bundle.Rejected, proposal.State)
	var refused problem.Details
	r.send("bert", "POST", path+"/sign-off", "", &refused)
	must.EqOp(t, model.CodeVersionConflict, refused.Code)
	must.EqOp(t, 0, r.watcher.View().Bundle.Version)
}

func TestEmergencyEdits(t *testing.T) {
	r := newTestAPI(t)
	paths := []string{"zones/garching/close", "zones/garching/open", "targets/s1/drain", "targets/s1/undrain", "entries/e1/drain", "entries/e1/undrain"}
	for i, path := range paths {
		var accepted rollout.ChangeResult
		response := r.send("anna", "POST", "/v1/"+path, "", &accepted)
		must.EqOp(t, http.StatusOK, response.StatusCode)
		must.EqOp(t, int64(i+1), accepted.Version)
	}
	current := r.watcher.View().Bundle
	must.SliceEmpty(t, current.ClosedZones)
	must.SliceEmpty(t, current.DrainedTargets)
	must.SliceEmpty(t, current.DrainedEntries)

	var refused problem.Details
	response := r.send("bert", "POST", "/v1/zones/garching/close", `{"base":2}`, &refused)
	must.EqOp(t, http.StatusConflict, response.StatusCode)
	must.EqOp(t, int64(len(paths)), *refused.CurrentVersion)
	must.EqOp(t, model.NotRun, refused.Outcome)
}

func TestCallerChangeNeedsSecondOperator(t *testing.T) {
	r := newTestAPI(t)
	var proposal bundle.Proposal
	response := r.send("anna", "PUT", "/v1/callers/desk", `{"weight":3}`, &proposal)
	must.EqOp(t, http.StatusCreated, response.StatusCode)
	must.EqOp(t, 0, r.watcher.View().Bundle.Version)
	path := response.Header.Get("Location")
	r.send("bert", "POST", path+"/sign-off", "", &proposal)
	var accepted rollout.ChangeResult
	r.send("anna", "POST", path+"/roll-out", "", &accepted)
	must.Eq(t, []model.Caller{{Name: "desk", Weight: 3}}, r.watcher.View().Bundle.Callers)
}

func TestStatus(t *testing.T) {
	var status map[string]int64
	newTestAPI(t).send("anna", "GET", "/v1/status", "", &status)
	must.EqOp(t, 3, status["jobs"])
	must.Between(t, 1, status["left"], DefaultTimeout.Milliseconds())
}

func TestBadInput(t *testing.T) {
	cases := []struct {
		name, operator, method, path, body string
		status                             int
		code                               model.Code
	}{
		{"no token", "", "GET", "/v1/bundle", "", 401, model.CodeUnauthenticated},
		{"wrong token", "cleo", "GET", "/v1/bundle", "", 401, model.CodeUnauthenticated},
		{"unknown path", "anna", "GET", "/v1/nothing", "", 404, model.CodeNotFound},
		{"trailing slash", "anna", "GET", "/v1/bundle/", "", 404, model.CodeNotFound},
		{"unknown proposal", "anna", "POST", "/v1/bundles/none/sign-off", "", 404, model.CodeNotFound},
		{"unknown action", "anna", "POST", "/v1/zones/garching/burn", "", 404, model.CodeNotFound},
		{"wrong method", "anna", "DELETE", "/v1/bundle", "", 405, model.CodeInvalid},
		{"unknown zone", "anna", "POST", "/v1/zones/tt-south-a/close", "", 400, model.CodeInvalid},
		{"long target", "anna", "POST", "/v1/targets/" + strings.Repeat("a", 200) + "/drain", "", 400, model.CodeInvalid},
		{"empty body", "anna", "POST", "/v1/bundles", "", 400, model.CodeInvalid},
		{"truncated", "anna", "POST", "/v1/bundles", validBundle[:40], 400, model.CodeInvalid},
		{"trailing data", "anna", "POST", "/v1/bundles", validBundle + "1", 400, model.CodeInvalid},
		{"unknown field", "anna", "POST", "/v1/bundles", strings.Replace(validBundle, "queuedTasks", "queued", 1), 400, model.CodeInvalid},
		{"field left out", "anna", "POST", "/v1/bundles", strings.Replace(validBundle, `"callers":[],`, "", 1), 400, model.CodeInvalid},
		{"null field", "anna", "POST", "/v1/bundles", strings.Replace(validBundle, `"callers":[]`, `"callers":null`, 1), 400, model.CodeInvalid},
		{"list for bundle", "anna", "POST", "/v1/bundles", "[]", 400, model.CodeInvalid},
		{"null for bundle", "anna", "POST", "/v1/bundles", "null", 400, model.CodeInvalid},
		{"wrong type", "anna", "POST", "/v1/bundles", strings.Replace(validBundle, "9", `"9"`, 1), 400, model.CodeInvalid},
		{"bad limit", "anna", "POST", "/v1/bundles", strings.Replace(validBundle, "9", "-9", 1), 400, model.CodeInvalid},
		{"old base", "anna", "POST", "/v1/bundles", strings.Replace(validBundle, `"version":0`, `"version":7`, 1), 409, model.CodeVersionConflict},
		{"large body", "anna", "POST", "/v1/bundles", strings.Repeat(" ", 9<<10), 413, model.CodeTooLarge},
		{"body where none belongs", "anna", "POST", "/v1/bundles/x/sign-off", `{"by":"bert"}`, 400, model.CodeInvalid},
		{"negative base", "anna", "POST", "/v1/zones/garching/close", `{"base":-1}`, 400, model.CodeInvalid},
		{"trailing data after base", "anna", "POST", "/v1/zones/garching/close", `{"base":0}{}`, 400, model.CodeInvalid},
		{"fractional base", "anna", "POST", "/v1/zones/garching/close", `{"base":0.5}`, 400, model.CodeInvalid},
		{"other caller in body", "anna", "PUT", "/v1/callers/desk", `{"name":"other"}`, 400, model.CodeInvalid},
		{"weight too large", "anna", "PUT", "/v1/callers/desk", `{"weight":5000}`, 400, model.CodeInvalid},
		{"infinite rate", "anna", "PUT", "/v1/callers/desk", `{"tasksPerSecond":1e999}`, 400, model.CodeInvalid},
		{"no version", "anna", "GET", "/v1/bundle/in-force", "", 400, model.CodeInvalid},
		{"version in words", "anna", "GET", "/v1/bundle/in-force?version=one", "", 400, model.CodeInvalid},
		{"huge version", "anna", "GET", "/v1/bundle/in-force?version=99999999999999999999", "", 400, model.CodeInvalid},
		{"negative page", "anna", "GET", "/v1/bundles/history?limit=-1", "", 400, model.CodeInvalid},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newTestAPI(t)
			var refused problem.Details
			response := r.send(tc.operator, tc.method, tc.path, tc.body, &refused)
			must.EqOp(t, tc.status, response.StatusCode)
			must.EqOp(t, problem.ContentType, response.Header.Get("Content-Type"))
			must.EqOp(t, tc.status, refused.Status)
			must.EqOp(t, tc.code, refused.Code)
			must.EqOp(t, model.NotRun, refused.Outcome)
			must.MapEmpty(t, r.table.rows)
		})
	}
}

func TestStoreUnavailableIsReportedAsNotRun(t *testing.T) {
	r := newTestAPI(t)
	r.table.err = store.ErrUnavailable
	var refused problem.Details
	response := r.send("anna", "POST", "/v1/zones/garching/close", "", &refused)
	must.EqOp(t, http.StatusServiceUnavailable, response.StatusCode)
	must.EqOp(t, "2", response.Header.Get("Retry-After"))
	must.EqOp(t, model.NotRun, refused.Outcome)
}

func TestUnknownOutcomeIsReported(t *testing.T) {
	details := problemDetails(&rollout.UnknownOutcomeError{Attempt: "a1"})
	must.EqOp(t, model.Unknown, details.Outcome)
	must.EqOp(t, http.StatusServiceUnavailable, details.Status)
	must.StrContains(t, details.Detail, "a1")
}

func TestNewRequiresOptions(t *testing.T) {
	_, err := New(Options{})
	must.True(t, Error.Has(err))
}

// FuzzDecodeBundle checks that decodeBundle and decodeEditBody reject input only
// with the code invalid_request.
func FuzzDecodeBundle(f *testing.F) {
	f.Add([]byte(validBundle))
	f.Add([]byte(validBundle + "{}"))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, err := decodeBundle(raw)
		_, editErr := decodeEditBody(raw)
		for _, one := range []error{err, editErr} {
			if one != nil {
				must.EqOp(t, model.CodeInvalid, toRefusal(one).Code)
			}
		}
	})
}
