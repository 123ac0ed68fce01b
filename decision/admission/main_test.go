package admission

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed of the property tests to 1 unless -rapid.seed is given, so
// that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
