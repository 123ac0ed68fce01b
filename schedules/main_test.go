package schedules

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that every run draws the same schedules unless
// another seed is given.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}
