package command

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/api"
)

const exampleJob = "../examples/jobs/nomination-desk.json"

// TestCallerCommands runs submit, show, request and cancel against a demo system,
// with jobs that complete, fail and are refused.
func TestCallerCommands(t *testing.T) {
	system := newSystem(t)
	t.Setenv("FIGRING_TOKEN", testCallerToken)
	urls := system.CallersURLs()
	atEntry := func(index int, args ...string) []string { return append(args, "--entry", urls[index]) }

	code, first, errOut := run(atEntry(0, "submit", "--output", "json", exampleJob)...)
	must.EqOp(t, ExitOK, code, must.Sprint(errOut))
	must.EqOp(t, "", errOut, must.Sprint("progress must not be shown without a terminal"))
	var answer api.JobResponse
	must.NoError(t, json.Unmarshal([]byte(first), &answer))
	must.EqOp(t, api.JobComplete, answer.State)
	starts := countStarts(system)
	must.EqOp(t, len(answer.Results), starts)

	_, again, _ := run(atEntry(1, "submit", "--output", "json", "--key", answer.Key, exampleJob)...)
	must.EqOp(t, first, again)
	_, shown, _ := run(atEntry(1, "show", "--output", "json", answer.Key)...)
	must.EqOp(t, first, shown)
	code, table, _ := run(atEntry(0, "show", answer.Key)...)
	must.EqOp(t, ExitOK, code)
	must.StrContains(t, table, `{"candidate":"C-2041","eligible":true}`)
	must.EqOp(t, starts, countStarts(system))

	code, out, _ := run(atEntry(0, "request", "--class", "eligibility", "--payload", `{"candidate":"C-1","runMs":1}`)...)
	must.EqOp(t, ExitOK, code)
	must.StrContains(t, out, `{"candidate":"C-1","eligible":true}`)

	failingJob := filepath.Join(t.TempDir(), "job.json")
	must.NoError(t, os.WriteFile(failingJob, []byte(`{"tasks":[{"class":"a","payload":{"fail":true,"runMs":1}}]}`), 0o600))
	code, _, errOut = run(atEntry(0, "submit", failingJob)...)
	must.EqOp(t, ExitFailed, code)
	must.StrContains(t, errOut, "task_failed (run)")

	refusedArgs := [][]string{
		atEntry(0, "submit", "--key", answer.Key, "../examples/jobs/subscription-desk.json"),
		atEntry(0, "submit", "--token", "wrong", exampleJob),
		atEntry(0, "show", newKey()),
		atEntry(0, "cancel", newKey()),
	}
	for _, args := range refusedArgs {
		code, _, errOut = run(args...)
		must.EqOp(t, ExitRefused, code, must.Sprint(args))
		must.StrContains(t, errOut, "(not_run)")
	}
	code, out, _ = run(atEntry(0, "show", "--output", "json", newKey())...)
	must.EqOp(t, ExitRefused, code)
	must.StrContains(t, out, `"code":"not_found"`)
	code, _, _ = run("submit", "--once", "--entry", "http://127.0.0.1:1", exampleJob)
	must.EqOp(t, ExitFailed, code)
}

// TestOperatorCommands proposes, signs off and rolls out a bundle, rejects another,
// closes and opens a zone, and drains and undrains a sidecar and an entry.
func TestOperatorCommands(t *testing.T) {
	system := newSystem(t)
	urls := system.OperatorsURLs()
	withToken := func(token string, args ...string) []string {
		return append(args, "--token", token, "--operators", urls[0], "--operators", urls[1])
	}
	mustSucceed := func(args ...string) string {
		t.Helper()
		code, out, errOut := run(args...)
		must.EqOp(t, ExitOK, code, must.Sprint(args, errOut))
		return out
	}
	mustBeRefused := func(code string, args ...string) {
		t.Helper()
		exit, _, errOut := run(args...)
		must.EqOp(t, ExitRefused, exit, must.Sprint(args, errOut))
		must.StrContains(t, errOut, code+" (not_run)")
	}

	var proposal struct{ ID string }
	out := mustSucceed(withToken(testOperatorToken, "caller", "set", "--output", "json", "--weight", "3", "newdesk")...)
	must.NoError(t, json.Unmarshal([]byte(out), &proposal))
	mustBeRefused("forbidden", withToken(testOperatorToken, "bundle", "sign-off", proposal.ID)...)
	mustSucceed(withToken(testSecondOperatorToken, "bundle", "sign-off", proposal.ID)...)
	must.StrContains(t, mustSucceed(withToken(testOperatorToken, "bundle", "roll-out", proposal.ID)...), "in force everywhere after")
	must.StrContains(t, mustSucceed(withToken(testOperatorToken, "bundle", "show")...), "newdesk")
	must.StrContains(t, mustSucceed(withToken(testOperatorToken, "bundle", "show", proposal.ID)...), "rolled_out")
	must.StrContains(t, mustSucceed(withToken(testOperatorToken, "bundle", "list")...), proposal.ID)

	bundleFile := filepath.Join(t.TempDir(), "bundle.json")
	body := `{"version":2,"closedZones":[],"drainedTargets":[],"drainedEntries":[],"callers":[],"limits":{}}`
	must.NoError(t, os.WriteFile(bundleFile, []byte(body), 0o600))
	out = mustSucceed(withToken(testOperatorToken, "bundle", "propose", "--output", "json", bundleFile)...)
	must.NoError(t, json.Unmarshal([]byte(out), &proposal))
	must.StrContains(t, mustSucceed(withToken(testSecondOperatorToken, "bundle", "reject", proposal.ID)...), "rejected")
	must.NoError(t, os.WriteFile(bundleFile, []byte(strings.Replace(body, "2", "1", 1)), 0o600))
	mustBeRefused("version_conflict", withToken(testOperatorToken, "bundle", "propose", bundleFile)...)

	must.StrContains(t, mustSucceed(withToken(testOperatorToken, "zone", "close", "garching")...), "in force everywhere after")
	must.StrContains(t, mustSucceed(withToken(testOperatorToken, "zone", "list")...), "garching     no")
	mustBeRefused("invalid_request", withToken(testOperatorToken, "zone", "close", "moon")...)
	mustBeRefused("version_conflict", withToken(testOperatorToken, "zone", "open", "--base", "1", "garching")...)
	mustSucceed(withToken(testOperatorToken, "zone", "open", "--wait", "0s", "garching")...)
	mustSucceed(withToken(testOperatorToken, "drain", "target", "--wait", "0s", "sidecar-1")...)
	must.StrContains(t, mustSucceed(withToken(testOperatorToken, "undrain", "target", "--wait", "0s", "sidecar-1")...), "version 6 accepted")
	must.StrContains(t, mustSucceed(withToken(testOperatorToken, "undrain", "target", "--wait", "0s", "sidecar-1")...), "nothing to change")
	must.StrContains(t, mustSucceed(withToken(testOperatorToken, "bundle", "history")...), "CloseZone{Zone:garching}")

	must.StrContains(t, mustSucceed(withToken(testOperatorToken, "drain", "entry", "entry-1")...), "in force everywhere after")
	status := mustSucceed(withToken(testOperatorToken, "status")...)
	must.StrNotContains(t, status, "\nentry-1 ")
	must.StrContains(t, status, "\nentry-2  ")
	mustSucceed(withToken(testOperatorToken, "undrain", "entry", "--wait", "0s", "entry-1")...)
}

func TestDemoCommand(t *testing.T) {
	code, out, errOut := run("demo", "--minions", "3", "--job", exampleJob, "--job", "../examples/jobs/subscription-desk.json")
	must.EqOp(t, ExitOK, code, must.Sprint(errOut))
	must.StrContains(t, errOut, "in memory")
	must.StrContains(t, out, "complete, outcome run, 24 results")
	must.StrContains(t, out, "complete, outcome run, 19 results")
}

// TestWrongUsage checks that an invalid command line or input file exits with
// ExitUsage, before anything is started.
func TestWrongUsage(t *testing.T) {
	malformedJob := filepath.Join(t.TempDir(), "job.json")
	must.NoError(t, os.WriteFile(malformedJob, []byte(`{"tasks":`), 0o600))
	cases := [][]string{
		{},
		{"unknown"},
		{"demo", "--minions", "0"},
		{"demo", "--job", "no-such-file"},
		{"submit"},
		{"submit", "no-such-file"},
		{"submit", malformedJob},
		{"submit", "--output", "xml", exampleJob},
		{"show"},
		{"request", "--class", "a", "--payload", "{"},
		{"bundle"},
		{"bundle", "propose", "no-such-file"},
		{"zone", "close"},
		{"zone", "burn", "garching"},
		{"drain", "entry", "entry-1", "--base", "one"},
		{"caller", "set", "desk", "--token-file", "no-such-file"},
	}
	for _, args := range cases {
		code, _, errOut := run(args...)
		must.EqOp(t, ExitUsage, code, must.Sprint(args))
		must.StrHasPrefix(t, "figring: ", errOut)
	}
}

// TestEverySubcommandHelpShowsExamples checks that every help page shows its examples
// without line wrapping, and the exit codes.
func TestEverySubcommandHelpShowsExamples(t *testing.T) {
	code, out, _ := run("--help")
	must.EqOp(t, ExitOK, code)
	must.StrContains(t, out, rootExamples+"\n")
	for _, cmd := range subcommands(&IO{}) {
		checkHelpShowsExamples(t, cmd, nil)
	}
}

// checkHelpShowsExamples checks the help pages of cmd and of its children.
func checkHelpShowsExamples(t *testing.T, cmd subcommand, parents []string) {
	t.Helper()
	path := append(append([]string{}, parents...), cmd.name)
	code, out, _ := run(append(path, "--help")...)
	must.EqOp(t, ExitOK, code)
	_, examples, found := strings.Cut(cmd.long, examplesMarker)
	must.True(t, found, must.Sprint(path))
	must.StrContains(t, examples, "\n  figring "+strings.Join(path, " "))
	must.StrContains(t, out, examples)
	must.StrContains(t, out, "Exit codes:")
	for _, child := range cmd.children {
		checkHelpShowsExamples(t, child, path)
	}
}
