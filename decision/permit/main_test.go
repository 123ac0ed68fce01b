package permit

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain draws the same cases in every run unless a seed is given.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	code := m.Run()
	if goleak.Find() != nil {
		code = 1
	}
	os.Exit(code)
}
