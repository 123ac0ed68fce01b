package permit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

var start = time.Unix(1_700_000_000, 0)

func TestGrant(t *testing.T) {
	session, bundle := start.Add(3*time.Second), start.Add(2*time.Second)
	must.Eq(t, 2*time.Second, Grant(session, bundle, true, true, start))
	must.Eq(t, time.Second, Grant(start.Add(time.Second), bundle, true, true, start))
	must.Eq(t, 0, Grant(session, bundle, false, true, start))
	must.Eq(t, 0, Grant(session, bundle, true, false, start))
	must.Eq(t, 0, Grant(session, bundle, true, true, start.Add(5*time.Second)))
}

func TestLedgerCountsFromTheSendTime(t *testing.T) {
	ledger := NewLedger()
	number := ledger.Sending("e", start)
	ledger.Granted("e", wire.Permit{Echo: number, TTL: 2 * time.Second}, start.Add(1500*time.Millisecond))
	must.Eq(t, 500*time.Millisecond, ledger.Remaining("e", start.Add(1500*time.Millisecond)))
	must.True(t, ledger.Live("e", start.Add(2*time.Second-1)))
	must.False(t, ledger.Live("e", start.Add(2*time.Second)))
}

func TestLedgerIgnoresOtherEchoes(t *testing.T) {
	ledger := NewLedger()
	number := ledger.Sending("e", start)
	ledger.Sending("f", start)
	ledger.Granted("f", wire.Permit{Echo: number, TTL: time.Second}, start)
	ledger.Granted("e", wire.Permit{Echo: number + 7, TTL: time.Second}, start)
	must.False(t, ledger.Live("f", start))
	must.False(t, ledger.Live("e", start))
}

func TestLedgerForgetsOldEchoes(t *testing.T) {
	ledger := NewLedger()
	first := ledger.Sending("e", start)
	for range 2 * stampLimit {
		ledger.Sending("e", start)
	}
	ledger.Granted("e", wire.Permit{Echo: first, TTL: time.Second}, start)
	must.False(t, ledger.Live("e", start))
	must.LessEq(t, stampLimit, len(ledger.holders["e"].stamps))
}

func TestLedgerNumbersOutliveAForgottenEntry(t *testing.T) {
	ledger := NewLedger()
	old := ledger.Sending("e", start)
	ledger.Sending("f", start.Add(3*forgetAfter))
	must.False(t, ledger.Known("e"))
	later := start.Add(4 * forgetAfter)
	ledger.Sending("e", later)
	ledger.Granted("e", wire.Permit{Echo: old, TTL: time.Hour}, later)
	must.False(t, ledger.Live("e", later))
}

func TestLedgerRevoke(t *testing.T) {
	ledger := NewLedger()
	number := ledger.Sending("e", start)
	ledger.Granted("e", wire.Permit{Echo: number, TTL: time.Second, BundleVersion: 4}, start)
	ledger.Revoke("e", 5)
	must.False(t, ledger.Live("e", start))
	ledger.Granted("e", wire.Permit{Echo: number, TTL: time.Second, BundleVersion: 4}, start)
	must.False(t, ledger.Live("e", start))
	ledger.Granted("e", wire.Permit{Echo: number, TTL: time.Second, BundleVersion: 5}, start)
	must.True(t, ledger.Live("e", start))
}

func TestLedgerNeverGoesBackToALowerBundle(t *testing.T) {
	ledger := NewLedger()
	e, f := ledger.Sending("e", start), ledger.Sending("f", start)
	ledger.Granted("e", wire.Permit{Echo: e, TTL: time.Second, BundleVersion: 4}, start)
	ledger.Granted("f", wire.Permit{Echo: f, TTL: 0, BundleVersion: 5}, start)
	must.True(t, ledger.Live("e", start), must.Sprint("a higher version must not end a permit before its time"))
	ledger.Granted("e", wire.Permit{Echo: e, TTL: 2 * time.Second, BundleVersion: 4}, start)
	must.Eq(t, time.Second, ledger.Remaining("e", start))
}

// TestLedgerNeverOutlastsTheLease lets an entry compute permits from its lease
// and deliver them late and out of order. Whatever the order, no permit is
// live after the lease that it was computed from.
func TestLedgerNeverOutlastsTheLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger := NewLedger()
		now := start
		leaseEnd := start.Add(model.SessionTTL)
		var received uint64
		var inFlight []wire.Permit
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				received = ledger.Sending("e", now)
			case 1:
				ttl := Grant(leaseEnd, leaseEnd, true, true, now)
				inFlight = append(inFlight, wire.Permit{Echo: received, TTL: ttl})
			case 2:
				if len(inFlight) > 0 {
					ledger.Granted("e", rapid.SampledFrom(inFlight).Draw(t, "permit"), now)
				}
			}
			if !now.Before(leaseEnd) && ledger.Live("e", now) {
				t.Fatalf("permit live %v after the lease", now.Sub(leaseEnd))
			}
		}
	})
}
