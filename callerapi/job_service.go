package callerapi

import (
	"context"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// JobService is what the interface asks of the entry behind it.
type JobService interface {
	// Submit runs a job, or recognises a resubmission, and returns its answer.
	Submit(ctx context.Context, spec model.JobSpec) wire.JobReply
	// Request runs a single request that carries no key of its caller's.
	Request(ctx context.Context, spec model.JobSpec) wire.JobReply
	// Join returns the state of a job; with wait it holds until the job ended.
	Join(ctx context.Context, key model.JobKey, wait bool) wire.JobReply
	// Cancel cancels a job.
	Cancel(ctx context.Context, key model.JobKey) wire.JobReply
}
