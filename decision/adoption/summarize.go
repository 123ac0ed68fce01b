package adoption

import (
	"time"

	"github.com/figring/figring/decision/jobstate"
	"github.com/figring/figring/model"
)

// Summarize returns the sidecars' records of one job as an event for its new owner.
// A missing record proves that a task was not started only if every sidecar either
// answered and has kept all its records since before the job can have been claimed,
// or was stopped in order before that time.
func Summarize(key model.JobKey, sidecars []Sidecar) jobstate.Adopted {
	event := jobstate.Adopted{AbsentNotStarted: true}
	since := earliestClaim(key)
	for _, sidecar := range sidecars {
		absenceProves := sidecar.hasAllRecords(since) || sidecar.startedNothing(since)
		event.AbsentNotStarted = event.AbsentNotStarted && absenceProves
		for _, record := range sidecar.recordsOf(key) {
			event.Tasks = append(event.Tasks, jobstate.AdoptedTask{Sidecar: sidecar.Reply.Sidecar, Record: record})
		}
	}
	return event
}

// earliestClaim returns the earliest time at which a job with the key can have been
// claimed. The key's creation time comes from the caller's clock, which may be ahead
// by model.KeySkew.
func earliestClaim(key model.JobKey) time.Time {
	return key.Created().Add(-model.KeySkew)
}
