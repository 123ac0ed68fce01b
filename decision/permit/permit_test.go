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

func TestPermitCountsFromSendTime(t *testing.T) {
	permits := NewSet()
	number := permits.RecordSend("e", start)
	permits.RecordGrant("e", wire.Permit{Echo: number, TTL: 2 * time.Second}, start.Add(1500*time.Millisecond))
	must.Eq(t, 500*time.Millisecond, permits.Remaining("e", start.Add(1500*time.Millisecond)))
	must.True(t, permits.Valid("e", start.Add(2*time.Second-1)))
	must.False(t, permits.Valid("e", start.Add(2*time.Second)))
}

func TestGrantWithForeignEchoIsIgnored(t *testing.T) {
	permits := NewSet()
	number := permits.RecordSend("e", start)
	permits.RecordSend("f", start)
	permits.RecordGrant("f", wire.Permit{Echo: number, TTL: time.Second}, start)
	permits.RecordGrant("e", wire.Permit{Echo: number + 7, TTL: time.Second}, start)
	must.False(t, permits.Valid("f", start))
	must.False(t, permits.Valid("e", start))
}

func TestGrantWithOldEchoIsIgnored(t *testing.T) {
	permits := NewSet()
	first := permits.RecordSend("e", start)
	for range 2 * maxSentMessages {
		permits.RecordSend("e", start)
	}
	permits.RecordGrant("e", wire.Permit{Echo: first, TTL: time.Second}, start)
	must.False(t, permits.Valid("e", start))
	must.LessEq(t, maxSentMessages, len(permits.entries["e"].messages))
}

func TestMessageNumbersAreNotReusedForForgottenEntry(t *testing.T) {
	permits := NewSet()
	old := permits.RecordSend("e", start)
	permits.RecordSend("f", start.Add(3*forgetAfter))
	must.False(t, permits.Known("e"))
	later := start.Add(4 * forgetAfter)
	permits.RecordSend("e", later)
	permits.RecordGrant("e", wire.Permit{Echo: old, TTL: time.Hour}, later)
	must.False(t, permits.Valid("e", later))
}

func TestRevoke(t *testing.T) {
	permits := NewSet()
	number := permits.RecordSend("e", start)
	permits.RecordGrant("e", wire.Permit{Echo: number, TTL: time.Second, BundleVersion: 4}, start)
	permits.Revoke("e", 5)
	must.False(t, permits.Valid("e", start))
	permits.RecordGrant("e", wire.Permit{Echo: number, TTL: time.Second, BundleVersion: 4}, start)
	must.False(t, permits.Valid("e", start))
	permits.RecordGrant("e", wire.Permit{Echo: number, TTL: time.Second, BundleVersion: 5}, start)
	must.True(t, permits.Valid("e", start))
}

func TestGrantWithLowerBundleVersionIsIgnored(t *testing.T) {
	permits := NewSet()
	e, f := permits.RecordSend("e", start), permits.RecordSend("f", start)
	permits.RecordGrant("e", wire.Permit{Echo: e, TTL: time.Second, BundleVersion: 4}, start)
	permits.RecordGrant("f", wire.Permit{Echo: f, TTL: 0, BundleVersion: 5}, start)
	must.True(t, permits.Valid("e", start), must.Sprint("a higher bundle version must not end an earlier permit"))
	permits.RecordGrant("e", wire.Permit{Echo: e, TTL: 2 * time.Second, BundleVersion: 4}, start)
	must.Eq(t, time.Second, permits.Remaining("e", start))
}

// TestPermitNeverOutlastsLease delivers the permits that an entry computed from
// its lease late and out of order. No permit may be valid after the end of that
// lease.
func TestPermitNeverOutlastsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		permits := NewSet()
		now := start
		leaseEnd := start.Add(model.SessionTTL)
		var received uint64
		var inFlight []wire.Permit
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				received = permits.RecordSend("e", now)
			case 1:
				ttl := Grant(leaseEnd, leaseEnd, true, true, now)
				inFlight = append(inFlight, wire.Permit{Echo: received, TTL: ttl})
			case 2:
				if len(inFlight) > 0 {
					permits.RecordGrant("e", rapid.SampledFrom(inFlight).Draw(t, "permit"), now)
				}
			}
			if !now.Before(leaseEnd) && permits.Valid("e", now) {
				t.Fatalf("permit valid %v after the end of the lease", now.Sub(leaseEnd))
			}
		}
	})
}
