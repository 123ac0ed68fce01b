package ejection

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests unless -rapid.seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
