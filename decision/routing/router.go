package routing

import (
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// Router chooses targets for tasks, by the loads that the targets report and by the
// results of earlier dispatches.
type Router interface {
	// Upsert records the information and the load that a sidecar reports. A
	// newer incarnation of a sidecar replaces the older one; messages of an
	// older incarnation are ignored.
	Upsert(target wire.Target, load wire.Load, now time.Time)
	// Remove deletes a target.
	Remove(incarnation model.Incarnation)
	// SetReady sets whether the entry may send tasks to a target. The target
	// must also report that it is ready and be allowed by the bundle.
	SetReady(incarnation model.Incarnation, ready bool)
	// SetAllowed sets the function that reports whether the bundle allows a
	// target to get work. It is called at once for each target, and again
	// whenever a target reports.
	SetAllowed(allowed func(wire.Target) bool)
	// SetMaxEjectionPercent sets the largest share of targets, in percent, that
	// may be ejected at once because their tasks fail; zero means the default.
	SetMaxEjectionPercent(percent int)
	// Pick chooses a target. It returns false if the task should wait at the
	// entry. The task counts as outstanding only after Dispatched.
	Pick(request Request, now time.Time) (Choice, bool)
	// Dispatched records that a task is being sent.
	Dispatched(incarnation model.Incarnation, now time.Time)
	// Finished records the result of a dispatch.
	Finished(incarnation model.Incarnation, result DispatchResult, now time.Time)
	// Capacity returns the total capacity of the targets that may get work now.
	Capacity(now time.Time) Capacity
}
