package proptest

import (
	"flag"
	"os"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const testSeed, testChecks = 42, 7

func TestMain(m *testing.M) {
	os.Exit(Run(m, Defaults{Seed: testSeed, Checks: testChecks, FindLeaks: true}))
}

// TestDefaultsApply checks that rapid runs with the defaults of TestMain.
func TestDefaultsApply(t *testing.T) {
	must.EqOp(t, "42", flag.Lookup("rapid.seed").Value.String())
	must.EqOp(t, "true", flag.Lookup("rapid.nofailfile").Value.String())
	checks := 0
	rapid.Check(t, func(*rapid.T) { checks++ })
	must.EqOp(t, testChecks, checks)
}

// TestUnknownFlagIsReported checks that a flag that rapid does not define is an error.
func TestUnknownFlagIsReported(t *testing.T) {
	flags := flag.CommandLine
	t.Cleanup(func() { flag.CommandLine = flags })
	flag.CommandLine = flag.NewFlagSet("without rapid", flag.ContinueOnError)
	must.Error(t, setDefaults(Defaults{Seed: testSeed}))
}
