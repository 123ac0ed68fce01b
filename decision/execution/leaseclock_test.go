package execution

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestDelayedRenewalExtendsLease covers a slow instance that decides on a
// renewal early and sends it late. The lease has lapsed only when the last
// renewal sent has, on a minion's clock that may run slow.
func TestDelayedRenewalExtendsLease(t *testing.T) {
	var clock LeaseClock
	start := time.Unix(1000, 0)
	clock.Observe(start, 5000)
	must.EqOp(t, 5000+Lease.Milliseconds(), clock.Grant(start))
	sentLate := start.Add(400 * time.Millisecond)
	must.EqOp(t, 5400+Lease.Milliseconds(), clock.Grant(sentLate))
	must.False(t, clock.Lapsed(start.Add(Lease+100*time.Millisecond)))
	must.False(t, clock.Lapsed(sentLate.Add(Lease)))
	must.True(t, clock.Lapsed(sentLate.Add(Lease+lapseMargin+50*time.Millisecond)))
}

// TestNoLeaseBeforeClockReading covers a minion that has not answered yet.
func TestNoLeaseBeforeClockReading(t *testing.T) {
	var clock LeaseClock
	must.EqOp(t, 0, clock.Grant(time.Unix(1000, 0)))
	must.False(t, clock.Lapsed(time.Unix(2000, 0)))
}
