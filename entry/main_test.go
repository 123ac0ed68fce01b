package entry

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests unless a flag gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed != nil && seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
