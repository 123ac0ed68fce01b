package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const examplesDir = "../examples/settings/"

// run calls Run with args and returns the exit code and both outputs.
func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Run(args, &o, &e)
	return code, o.String(), e.String()
}

func TestValidateAcceptsExamples(t *testing.T) {
	cases := [][]string{
		{"validate", "--kind", "entry", examplesDir + "entry.jsonc"},
		{"validate", "--kind", "sidecar", examplesDir + "sidecar.jsonc"},
		{"validate", "--kind", "bundle", "--zone", "schwabing", examplesDir + "bundle.jsonc"},
	}
	for _, args := range cases {
		code, out, errOut := run(args...)
		must.EqOp(t, ExitOK, code, must.Sprint(errOut))
		must.StrContains(t, out, "valid "+args[2])
	}
}

func TestValidateReportsUnknownSetting(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.jsonc")
	must.NoError(t, os.WriteFile(path, []byte(`{"nmae": "a"}`), 0o600))
	code, _, errOut := run("validate", "--kind", "entry", path)
	must.EqOp(t, ExitUsage, code)
	must.StrContains(t, errOut, path+": nmae: unknown setting")
}

func TestValidateUsage(t *testing.T) {
	cases := [][]string{
		{"validate"},
		{"validate", "--kind", "entry"},
		{"validate", "--kind", "minion", examplesDir + "entry.jsonc"},
		{"validate", "--kind", "entry", "no-such-file"},
		{"validate", "--kind", "sidecar", examplesDir + "entry.jsonc"},
	}
	for _, args := range cases {
		code, _, errOut := run(args...)
		must.EqOp(t, ExitUsage, code)
		must.StrHasPrefix(t, "figring: ", errOut)
	}
}

func TestHelpShowsExamples(t *testing.T) {
	for _, name := range []string{"validate", "token"} {
		code, out, _ := run(name, "--help")
		must.EqOp(t, ExitOK, code)
		must.StrContains(t, out, "figring "+name)
		must.StrContains(t, out, "Example")
	}
}

func TestToken(t *testing.T) {
	var out bytes.Buffer
	command := &tokenCommand{streams: &IO{Out: &out}, in: strings.NewReader("test\n")}
	must.NoError(t, command.Execute(nil))
	must.EqOp(t, "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\n", out.String())
	for _, in := range []string{"", "\n", strings.Repeat("a", maxTokenInput+1)} {
		command.in = strings.NewReader(in)
		var exit *exitError
		must.ErrorAs[*exitError](t, command.Execute(nil), &exit)
		must.EqOp(t, ExitUsage, exit.code)
	}
}
