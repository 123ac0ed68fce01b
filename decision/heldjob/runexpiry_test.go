package heldjob

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/decision/joblease"
)

// TestRunsEndBeforeTheyStartElsewhere guards against bounds that fit no more: the runs that an
// owner withdraws have ended before another entry starts them, whose clock runs 2 % fast while
// that of the owner runs 2 % slow.
func TestRunsEndBeforeTheyStartElsewhere(t *testing.T) {
	const (
		// tick is the time until the owner acts on what is due.
		tick       = 50 * time.Millisecond
		clockShare = 0.96
	)
	shortest := func(wait time.Duration) time.Duration { return time.Duration(clockShare * float64(wait)) }
	must.LessEq(t, shortest(joblease.TakeoverAfter+joblease.AdoptPatience), joblease.RunsAfterRenewal+tick+RunExpiry)
	must.LessEq(t, shortest(joblease.AdoptPatience), joblease.ConfirmationTTL+tick+RunExpiry)
	must.Greater(t, joblease.TTL, joblease.RunsAfterRenewal)
}
