package queuedelay_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/decision/queuedelay"
)

// TestExpectedWait checks which of the waits of several priorities and ages count.
func TestExpectedWait(t *testing.T) {
	start := time.Unix(1000, 0)
	estimator := queuedelay.New()
	must.EqOp(t, 0, estimator.ExpectedWait(start, 3))
	estimator.RecordWait(start, 0, 2*time.Second)
	estimator.RecordWait(start, 1, time.Second)
	estimator.RecordWait(start, 2, 3*time.Second)
	must.EqOp(t, 2*time.Second, estimator.ExpectedWait(start, 0))
	must.EqOp(t, 2*time.Second, estimator.ExpectedWait(start, 1))
	must.EqOp(t, 3*time.Second, estimator.ExpectedWait(start, 2))
	later := start.Add(900 * time.Millisecond)
	estimator.RecordWait(later, 0, 0)
	must.EqOp(t, 0, estimator.ExpectedWait(later, 0))
	must.EqOp(t, time.Second, estimator.ExpectedWait(later, 1))
	must.EqOp(t, 0, estimator.ExpectedWait(start.Add(2*time.Second), 2))
}
