// Package proptest runs the tests of a package with a fixed seed for their property
// tests, so that every run checks the same cases unless the command line asks for others.
package proptest

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"

	"go.uber.org/goleak"
)

// Defaults are the values of rapid's flags that apply unless the command line sets them.
type Defaults struct {
	Seed uint64
	// Checks is the number of cases of each property; 0 leaves rapid's own default.
	Checks int
	// FindLeaks makes the run fail if a goroutine is left after the tests.
	FindLeaks bool
}

// Run runs the tests and returns the exit code. The package's tests must import rapid,
// which defines the flags. A failing case is not saved to a file: its seed is known.
func Run(m *testing.M, defaults Defaults) int {
	if err := setDefaults(defaults); err != nil {
		fmt.Fprintln(os.Stderr, "proptest:", err)
		return 1
	}
	flag.Parse()
	code := m.Run()
	if !defaults.FindLeaks {
		return code
	}
	if err := goleak.Find(); err != nil {
		fmt.Fprintln(os.Stderr, "proptest:", err)
		return 1
	}
	return code
}

func setDefaults(defaults Defaults) error {
	values := map[string]string{
		"rapid.seed":       strconv.FormatUint(defaults.Seed, 10),
		"rapid.nofailfile": "true",
	}
	if defaults.Checks > 0 {
		values["rapid.checks"] = strconv.Itoa(defaults.Checks)
	}
	for name, value := range values {
		if err := flag.Set(name, value); err != nil {
			return err
		}
	}
	return nil
}
