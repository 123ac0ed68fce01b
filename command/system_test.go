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

// TestCallersCommands takes a job through submit, show and cancel.
func TestCallersCommands(t *testing.T) {
	system := newSystem(t)
	t.Setenv("FIGRING_TOKEN", testToken)
	urls := system.CallersURLs()
	at := func(index int, args ...string) []string { return append(args, "--entry", urls[index]) }

	code, first, errOut := run(at(0, "submit", "--output", "json", exampleJob)...)
	must.EqOp(t, ExitOK, code, must.Sprint(errOut))
	must.EqOp(t, "", errOut, must.Sprint("no progress line without a terminal"))
	var answer api.JobResponse
	must.NoError(t, json.Unmarshal([]byte(first), &answer))
	must.EqOp(t, api.JobComplete, answer.State)
	starts := startsIn(system)
	must.EqOp(t, len(answer.Results), starts)

	_, again, _ := run(at(1, "submit", "--output", "json", "--key", answer.Key, exampleJob)...)
	must.EqOp(t, first, again)
	_, shown, _ := run(at(1, "show", "--output", "json", answer.Key)...)
	must.EqOp(t, first, shown)
	code, table, _ := run(at(0, "show", answer.Key)...)
	must.EqOp(t, ExitOK, code)
	must.StrContains(t, table, `{"candidate":"C-2041","eligible":true}`)
	must.EqOp(t, starts, startsIn(system))

	code, out, _ := run(at(0, "request", "--class", "eligibility", "--payload", `{"candidate":"C-1","runMs":1}`)...)
	must.EqOp(t, ExitOK, code)
	must.StrContains(t, out, `{"candidate":"C-1","eligible":true}`)

	failing := filepath.Join(t.TempDir(), "job.json")
	must.NoError(t, os.WriteFile(failing, []byte(`{"tasks":[{"class":"a","payload":{"fail":true,"runMs":1}}]}`), 0o600))
	code, _, errOut = run(at(0, "submit", failing)...)
	must.EqOp(t, ExitFailed, code)
	must.StrContains(t, errOut, "task_failed (run)")

	refused := [][]string{
		at(0, "submit", "--key", answer.Key, "../examples/jobs/subscription-desk.json"),
		at(0, "submit", "--token", "wrong", exampleJob),
		at(0, "show", freshKey()),
		at(0, "cancel", freshKey()),
	}
	for _, args := range refused {
		code, _, errOut = run(args...)
		must.EqOp(t, ExitRefused, code, must.Sprint(args))
		must.StrContains(t, errOut, "(not_run)")
	}
	code, out, _ = run(at(0, "show", "--output", "json", freshKey())...)
	must.EqOp(t, ExitRefused, code)
	must.StrContains(t, out, `"code":"not_found"`)
	code, _, _ = run("submit", "--once", "--entry", "http://127.0.0.1:1", exampleJob)
	must.EqOp(t, ExitFailed, code)
}

// TestOperatorsCommands takes a bundle from the proposal to force, and a zone,
// a sidecar and an entry out.
func TestOperatorsCommands(t *testing.T) {
	system := newSystem(t)
	urls := system.OperatorsURLs()
	as := func(token string, args ...string) []string {
		return append(args, "--token", token, "--operators", urls[0], "--operators", urls[1])
	}
	good := func(args ...string) string {
		t.Helper()
		code, out, errOut := run(args...)
		must.EqOp(t, ExitOK, code, must.Sprint(args, errOut))
		return out
	}
	refused := func(code string, args ...string) {
		t.Helper()
		exit, _, errOut := run(args...)
		must.EqOp(t, ExitRefused, exit, must.Sprint(args, errOut))
		must.StrContains(t, errOut, code+" (not_run)")
	}

	var proposal struct{ ID string }
	out := good(as(testOperator, "caller", "set", "--output", "json", "--weight", "3", "newdesk")...)
	must.NoError(t, json.Unmarshal([]byte(out), &proposal))
	refused("forbidden", as(testOperator, "bundle", "sign-off", proposal.ID)...)
	good(as(testSecond, "bundle", "sign-off", proposal.ID)...)
	must.StrContains(t, good(as(testOperator, "bundle", "roll-out", proposal.ID)...), "in force everywhere after")
	must.StrContains(t, good(as(testOperator, "bundle", "show")...), "newdesk")
	must.StrContains(t, good(as(testOperator, "bundle", "show", proposal.ID)...), "rolled_out")
	must.StrContains(t, good(as(testOperator, "bundle", "list")...), proposal.ID)

	bundle := filepath.Join(t.TempDir(), "bundle.json")
	body := `{"version":2,"closedZones":[],"drainedTargets":[],"drainedEntries":[],"callers":[],"limits":{}}`
	must.NoError(t, os.WriteFile(bundle, []byte(body), 0o600))
	out = good(as(testOperator, "bundle", "propose", "--output", "json", bundle)...)
	must.NoError(t, json.Unmarshal([]byte(out), &proposal))
	must.StrContains(t, good(as(testSecond, "bundle", "reject", proposal.ID)...), "rejected")
	must.NoError(t, os.WriteFile(bundle, []byte(strings.Replace(body, "2", "1", 1)), 0o600))
	refused("version_conflict", as(testOperator, "bundle", "propose", bundle)...)

	must.StrContains(t, good(as(testOperator, "zone", "close", "garching")...), "in force everywhere after")
	must.StrContains(t, good(as(testOperator, "zone", "list")...), "garching     no")
	refused("invalid_request", as(testOperator, "zone", "close", "moon")...)
	refused("version_conflict", as(testOperator, "zone", "open", "--base", "1", "garching")...)
	good(as(testOperator, "zone", "open", "--wait", "0s", "garching")...)
	good(as(testOperator, "drain", "target", "--wait", "0s", "sidecar-1")...)
	must.StrContains(t, good(as(testOperator, "undrain", "target", "--wait", "0s", "sidecar-1")...), "version 6 accepted")
	must.StrContains(t, good(as(testOperator, "undrain", "target", "--wait", "0s", "sidecar-1")...), "nothing to change")
	must.StrContains(t, good(as(testOperator, "bundle", "history")...), "CloseZone{Zone:garching}")

	must.StrContains(t, good(as(testOperator, "drain", "entry", "entry-1")...), "in force everywhere after")
	status := good(as(testOperator, "status")...)
	must.StrNotContains(t, status, "\nentry-1 ")
	must.StrContains(t, status, "\nentry-2  ")
	good(as(testOperator, "undrain", "entry", "--wait", "0s", "entry-1")...)
}

func TestDemoCommand(t *testing.T) {
	code, out, errOut := run("demo", "--minions", "3", "--job", exampleJob, "--job", "../examples/jobs/subscription-desk.json")
	must.EqOp(t, ExitOK, code, must.Sprint(errOut))
	must.StrContains(t, errOut, "in memory")
	must.StrContains(t, out, "complete, outcome run, 24 results")
	must.StrContains(t, out, "complete, outcome run, 19 results")
}

// TestWrongUsage checks that a wrong command line starts nothing.
func TestWrongUsage(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "job.json")
	must.NoError(t, os.WriteFile(bad, []byte(`{"tasks":`), 0o600))
	cases := [][]string{
		{},
		{"unknown"},
		{"demo", "--minions", "0"},
		{"demo", "--job", "no-such-file"},
		{"submit"},
		{"submit", "no-such-file"},
		{"submit", bad},
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

// TestHelpOfEverySubcommand checks that each help page shows its examples line
// by line, and the exit codes.
func TestHelpOfEverySubcommand(t *testing.T) {
	code, out, _ := run("--help")
	must.EqOp(t, ExitOK, code)
	must.StrContains(t, out, rootExamples+"\n")
	for _, one := range subcommands(&IO{}) {
		helpShowsExamples(t, one, nil)
	}
}

func helpShowsExamples(t *testing.T, one subcommand, parents []string) {
	t.Helper()
	path := append(append([]string{}, parents...), one.name)
	code, out, _ := run(append(path, "--help")...)
	must.EqOp(t, ExitOK, code)
	_, examples, found := strings.Cut(one.long, examplesMark)
	must.True(t, found, must.Sprint(path))
	must.StrContains(t, examples, "\n  figring "+strings.Join(path, " "))
	must.StrContains(t, out, examples)
	must.StrContains(t, out, "Exit codes:")
	for _, child := range one.children {
		helpShowsExamples(t, child, path)
	}
}
