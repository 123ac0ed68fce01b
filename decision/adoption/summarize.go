package adoption

import (
	"time"

	"github.com/figring/figring/decision/jobstate"
	"github.com/figring/figring/model"
)

// Summarize sums up what the sidecars know of one job. The absence of a record
// proves that a task was not started only when every sidecar answered and has
// kept all its records since before the job can have been claimed.
func Summarize(key model.JobKey, sidecars []Sidecar) jobstate.Adopted {
	event := jobstate.Adopted{AbsentNotStarted: true}
	since := claimFloor(key)
	for _, one := range sidecars {
		proved := one.accounts(since) || one.startedNothing(since)
		event.AbsentNotStarted = event.AbsentNotStarted && proved
		for _, record := range one.recordsOf(key) {
			event.Tasks = append(event.Tasks, jobstate.AdoptedTask{Sidecar: one.Reply.Sidecar, Record: record})
		}
	}
	return event
}

// claimFloor returns the earliest time at which a job of that key can have been
// claimed. Callers' clocks may be ahead by model.KeySkew.
func claimFloor(key model.JobKey) time.Time {
	return key.Created().Add(-model.KeySkew)
}
