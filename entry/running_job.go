package entry

import (
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// runningJob is a job in progress at its owner.
type runningJob struct {
	spec     model.JobSpec
	state    stateMachine
	received time.Time
	// keyless is set for requests that nobody can submit again: they have no
	// claim and no record in the table of keys.
	keyless bool
	// adopted is set for a job that another entry claimed.
	adopted bool
	// adopting is set until the claim of an adoption is written, and orphan
	// names whom the job is taken over from.
	claimingAdoption bool
	orphan           orphanedJob
	// repeat is set for a request that may be run more than once.
	repeatable *repeatableRequest
	// waiters get the answer, each once.
	waiters []chan<- wire.JobReply
}

// reply answers everyone who waits and forgets them.
func (j *runningJob) reply(reply wire.JobReply) {
	for _, waiter := range j.waiters {
		waiter <- reply
	}
	j.waiters = nil
}
