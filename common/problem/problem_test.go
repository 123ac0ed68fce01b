package problem

import (
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
)

// TestEveryCodeHasAStatus reads the codes from the source of package model, so that
// a new code without a status fails the test.
func TestEveryCodeHasAStatus(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "../../model/refusal.go", nil, 0)
	must.NoError(t, err)
	codes := 0
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		must.NoError(t, err)
		must.MapContainsKey(t, statuses, model.Code(text))
		codes++
		return true
	})
	must.EqOp(t, len(statuses), codes)
}

func TestWrite(t *testing.T) {
	cases := []struct {
		retry  time.Duration
		header string
		millis int64
	}{
		{0, "", 0},
		{-time.Second, "", 0},
		{time.Microsecond, "1", 1},
		{250 * time.Millisecond, "1", 250},
		{time.Second, "1", 1000},
		{time.Second + time.Nanosecond, "2", 1001},
	}
	for _, tc := range cases {
		recorder := httptest.NewRecorder()
		Write(recorder, model.NewRefusal(model.CodeQuota, tc.retry, "too many: %d", 7))
		must.EqOp(t, 429, recorder.Code)
		must.EqOp(t, ContentType, recorder.Header().Get("Content-Type"))
		must.EqOp(t, tc.header, recorder.Header().Get("Retry-After"))
		var got Details
		must.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &got))
		must.Eq(t, Details{
			Type: "urn:figring:problem:quota_exceeded", Title: "quota exceeded", Status: 429, Detail: "too many: 7",
			Code: model.CodeQuota, Outcome: model.NotRun, RetryAfterMs: tc.millis,
		}, got)
	}
}

func TestUnauthenticatedNamesTheScheme(t *testing.T) {
	recorder := httptest.NewRecorder()
	Write(recorder, model.NewRefusal(model.CodeUnauthenticated, 0, "no token"))
	must.EqOp(t, "Bearer", recorder.Header().Get("WWW-Authenticate"))
}

func TestUnknownCodeIsInternal(t *testing.T) {
	must.EqOp(t, 500, Status("undefined_code"))
}
