package routing

import (
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// Router chooses targets and learns from what becomes of the tasks.
type Router interface {
	// Upsert takes in what a sidecar says of itself. A newer incarnation of a
	// sidecar replaces the older one; a message of an older one is dropped.
	Upsert(target wire.Target, load wire.Load, now time.Time)
	// Remove forgets a target.
	Remove(incarnation model.Incarnation)
	// SetReady says whether the entry may send to a target, besides what the
	// target says of itself and what the bundle allows.
	SetReady(incarnation model.Incarnation, ready bool)
	// SetAllowed sets what the bundle allows. It is evaluated at once for every
	// target and again whenever a target reports.
	SetAllowed(open func(wire.Target) bool)
	// SetMaxEjectionPercent sets the largest share of targets, in percent, that may
	// be ejected for failing; zero means the default.
	SetMaxEjectionPercent(percent int)
	// Pick chooses a target. It reports false when the task should wait at the
	// entry. It changes no count: Dispatched does.
	Pick(request Request, now time.Time) (Choice, bool)
	// Dispatched notes that a task is being sent.
	Dispatched(incarnation model.Incarnation, now time.Time)
	// Finished notes that a dispatch has ended.
	Finished(incarnation model.Incarnation, report DispatchResult, now time.Time)
	// Capacity sums up the targets that may get work now.
	Capacity(now time.Time) Capacity
}
