package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// TestSilentTarget lets a sidecar fall silent: it gets no more work, and its
// open calls are given up only later.
func TestSilentTarget(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		w.submit(w.job(1))
		w.run()
		w.pass(targetStale + targetGrace + 200*time.Millisecond)
		w.submit(w.job(1)).refusal(model.CodeNoCapacity, model.NotRun)
		must.SliceEmpty(t, w.pool.forgotten())
		w.pass(time.Second, target(1))
		w.submit(w.job(1))
		w.run()
		w.pass(targetSilence + 200*time.Millisecond)
		must.Eq(t, []string{target(1).Address}, w.pool.forgotten())
	})
}

// TestRestartedTargetKeepsItsConnection lets a sidecar come back as a new
// incarnation at the same address: the old one's silence does not cut it off.
func TestRestartedTargetKeepsItsConnection(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		restarted := target(1)
		restarted.Incarnation = "s1.b"
		w.pass(targetSilence+time.Second, restarted)
		must.SliceEmpty(t, w.pool.forgotten())
		w.submit(w.job(1))
		must.EqOp(t, restarted.Incarnation, w.run().request.Sidecar)
	})
}

// TestClosedZone closes a zone: its permit is revoked, its unstarted task goes
// elsewhere, and it gets nothing more, also after a late older bundle.
func TestClosedZone(t *testing.T) {
	inWorld(t, func(w *world) {
		closing, open := target(1), target(2)
		closing.Zone = "garching"
		w.report(closing)
		answer := w.submit(w.job(1))
		first := w.run()
		w.report(open)
		w.owner.post(bundleChanged{model.Bundle{Version: 2, ClosedZones: []string{"garching"}}})
		w.owner.post(bundleChanged{model.Bundle{Version: 1}})
		w.report(closing, open)
		revoked := w.pool.callArgs(wire.MethodRevoke)
		must.Len(t, 1, revoked)
		must.EqOp(t, 2, revoked[0].(*wire.RevokeRequest).BundleVersion)
		first.reply(backReply(wire.ReasonNoPermit))
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

// TestDrainedTarget drains one sidecar by the bundle.
func TestDrainedTarget(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		w.owner.post(bundleChanged{model.Bundle{Version: 2, DrainedTargets: []string{"s1"}}})
		w.submit(w.job(1))
		w.runs(0)
		must.Len(t, 1, w.pool.callArgs(wire.MethodRevoke))
		w.owner.post(bundleChanged{model.Bundle{Version: 3}})
		w.run()
	})
}

// TestTargetWithoutPermitWaits hands tasks back for want of a permit. One that
// this entry could not give keeps work from the target for parkTime. One that
// the sidecar missed does not: the next dispatch names the hand-back's message.
func TestTargetWithoutPermitWaits(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		w.submit(w.job(1))
		unsent := backReply(wire.ReasonNoPermit)
		unsent.Message = 0
		w.run().reply(unsent)
		w.runs(0)
		w.pass(parkTime + 2*capacityInterval)
		w.run().reply(backReply(wire.ReasonNoPermit))
		w.run()
	})
}
