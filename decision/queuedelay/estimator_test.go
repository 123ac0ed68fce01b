package queuedelay_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/decision/queuedelay"
)

// TestWait covers waits of several priorities and ages.
func TestWait(t *testing.T) {
	start := time.Unix(1000, 0)
	estimator := queuedelay.New()
	must.EqOp(t, 0, estimator.Wait(start, 3))
	estimator.Entered(start, 0, 2*time.Second)
	estimator.Entered(start, 1, time.Second)
	estimator.Entered(start, 2, 3*time.Second)
	must.EqOp(t, 2*time.Second, estimator.Wait(start, 0))
	must.EqOp(t, 2*time.Second, estimator.Wait(start, 1))
	must.EqOp(t, 3*time.Second, estimator.Wait(start, 2))
	later := start.Add(900 * time.Millisecond)
	estimator.Entered(later, 0, 0)
	must.EqOp(t, 0, estimator.Wait(later, 0))
	must.EqOp(t, time.Second, estimator.Wait(later, 1))
	must.EqOp(t, 0, estimator.Wait(start.Add(2*time.Second), 2))
}
