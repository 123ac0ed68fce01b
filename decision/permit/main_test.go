package permit

import (
	"os"
	"testing"

	"github.com/figring/figring/common/proptest"
)

func TestMain(m *testing.M) {
	os.Exit(proptest.Run(m, proptest.Defaults{Seed: 20261203, Checks: 2000, FindLeaks: true}))
}
