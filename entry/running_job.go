package entry

import (
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// runningJob is a job or request in progress at its owner.
type runningJob struct {
	spec     model.JobSpec
	state    stateMachine
	received time.Time
	// keyless is set for requests that the caller can't resubmit. They have no
	// claim and no record in Owner.keys.
	keyless bool
	// adopted is set for a job that another entry claimed.
	adopted bool
	// claimingAdoption is set until the claim of an adoption is written. orphan is
	// the adopted job with its former claimer.
	claimingAdoption bool
	orphan           orphanedJob
	// repeatable is set for a request that may be run more than once.
	repeatable *repeatableRequest
	// waiters receive the reply once each.
	waiters []chan<- wire.JobReply
}

// reply sends the reply to all waiters and clears the list.
func (j *runningJob) reply(reply wire.JobReply) {
	for _, waiter := range j.waiters {
		waiter <- reply
	}
	j.waiters = nil
}
