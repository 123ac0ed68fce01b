package command

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/api"
	"github.com/figring/figring/loadgen/runner"
	"github.com/figring/figring/model"
)

func TestLoadReportsCompletedJobs(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer test" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		var body api.JobRequest
		_ = json.NewDecoder(r.Body).Decode(&body)
		_ = json.NewEncoder(w).Encode(api.JobResponse{Key: body.Key, State: api.JobComplete, Outcome: model.Run})
	}))
	defer server.Close()
	dir := t.TempDir()
	tokenFile := filepath.Join(dir, "token.txt")
	must.NoError(t, os.WriteFile(tokenFile, []byte("test\n"), 0o600))
	jsonFile := filepath.Join(dir, "run.json")
	plotFile := filepath.Join(dir, "run.png")
	code, out, errOut := run("load", "--callers", server.URL, "--token-file", tokenFile, "--rate", "20", "--duration", "1s", "--json", jsonFile, "--plot", plotFile)
	must.EqOp(t, ExitOK, code, must.Sprint(errOut))
	must.StrContains(t, out, "| complete | 20 |")
	content, err := os.ReadFile(jsonFile)
	must.NoError(t, err)
	var document runner.Document
	must.NoError(t, json.Unmarshal(content, &document))
	must.Len(t, 20, document.Outcomes)
	must.FileExists(t, plotFile)

	code, _, _ = run("load", "--callers", server.URL, "--token", "wrong", "--rate", "5", "--duration", "1s")
	must.EqOp(t, ExitFailed, code)
}

func TestLoadUsage(t *testing.T) {
	const target = "http://127.0.0.1:1"
	cases := [][]string{
		{"load"},
		{"load", "--callers", target},
		{"load", "--callers", target, "--token", "a", "--token-file", "b"},
		{"load", "--callers", "http://192.0.2.1:80", "--token", "a", "--rate", "1", "--duration", "1s"},
		{"load", "--callers", target, "--token", "a", "--shape", "round"},
		{"load", "--callers", target, "--token", "a", "--duration", "1h"},
		{"load", "--callers", target, "--token", "a", "--rate", "1e9"},
		{"load", "--callers", target, "--token", "a", "--load", "0"},
		{"measure", "--measure", "speed"},
		{"measure", "--duration", "0s"},
	}
	for _, args := range cases {
		code, _, errOut := run(args...)
		must.EqOp(t, ExitUsage, code, must.Sprint(args, errOut))
	}
}
