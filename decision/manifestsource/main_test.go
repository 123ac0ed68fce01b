package manifestsource

import (
	"os"
	"testing"

	"github.com/figring/figring/common/proptest"
)

func TestMain(m *testing.M) { os.Exit(proptest.Run(m, proptest.Defaults{Seed: 1})) }
