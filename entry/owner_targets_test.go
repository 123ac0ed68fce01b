package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// TestSilentTarget lets a sidecar stop reporting. It gets no more work after
// targetStaleTimeout, and its open calls are ended only after targetRemovalTimeout.
func TestSilentTarget(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		w.submit(w.job(1))
		w.run()
		w.advance(targetStaleTimeout + noTargetGracePeriod + 200*time.Millisecond)
		w.submit(w.job(1)).refusal(model.CodeNoCapacity, model.NotRun)
		must.SliceEmpty(t, w.pool.forgotten())
		w.advance(time.Second, target(1))
		w.submit(w.job(1))
		w.run()
		w.advance(targetRemovalTimeout + 200*time.Millisecond)
		must.Eq(t, []string{target(1).Address}, w.pool.forgotten())
	})
}

// TestRestartedTargetKeepsConnection restarts a sidecar as a new incarnation at the
// same address. The removal of the old incarnation must not close the connection of
// the new one.
func TestRestartedTargetKeepsConnection(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		restarted := target(1)
		restarted.Incarnation = "s1.b"
		w.advance(targetRemovalTimeout+time.Second, restarted)
		must.SliceEmpty(t, w.pool.forgotten())
		w.submit(w.job(1))
		must.EqOp(t, restarted.Incarnation, w.run().request.Sidecar)
	})
}

// TestClosedZone closes a zone by a bundle. The permit of its target is revoked, the
// target's unstarted task is dispatched to another target, and the zone gets no more
// work, also after an older bundle arrives late.
func TestClosedZone(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		closing, open := target(1), target(2)
		closing.Zone = "garching"
		w.report(closing)
		answer := w.submit(w.job(1))
		first := w.run()
		w.report(open)
		w.owner.post(bundleChangedEvent{model.Bundle{Version: 2, ClosedZones: []string{"garching"}}})
		w.owner.post(bundleChangedEvent{model.Bundle{Version: 1}})
		w.report(closing, open)
		revoked := w.pool.callArgs(wire.MethodRevoke)
		must.Len(t, 1, revoked)
		must.EqOp(t, 2, revoked[0].(*wire.RevokeRequest).BundleVersion)
		first.reply(notStartedReply(wire.ReasonNoPermit))
		second := w.run()
		must.EqOp(t, open.Address, second.address)
		second.reply(doneReply(second, 200))
		answer.complete()
		w.report(closing, open)
		w.submit(w.job(2 * testSlots))
		for _, run := range w.runs(testSlots + 1) {
			must.EqOp(t, open.Address, run.address)
		}
	})
}

// TestDrainedTarget drains a target by a bundle. The target gets no work, and its
// permit is revoked, until a newer bundle opens it again.
func TestDrainedTarget(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		w.owner.post(bundleChangedEvent{model.Bundle{Version: 2, DrainedTargets: []string{"s1"}}})
		w.submit(w.job(1))
		w.runs(0)
		must.Len(t, 1, w.pool.callArgs(wire.MethodRevoke))
		w.owner.post(bundleChangedEvent{model.Bundle{Version: 3}})
		w.run()
	})
}

// TestTargetWithoutPermitIsPaused hands back tasks for lack of a permit. If this
// entry could grant no permit, the target gets no work for noPermitPause. If only
// the sidecar had no valid permit, the task is dispatched again immediately, because
// the next dispatch echoes the message of the hand-back.
func TestTargetWithoutPermitIsPaused(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		w.submit(w.job(1))
		unsent := notStartedReply(wire.ReasonNoPermit)
		unsent.MessageNumber = 0
		w.run().reply(unsent)
		w.runs(0)
		w.advance(noPermitPause + 2*capacityUpdateInterval)
		w.run().reply(notStartedReply(wire.ReasonNoPermit))
		w.run()
	})
}
