package callerapi

import (
	"context"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// JobService runs and tracks jobs for the interface. entry.Forwarder implements
// it.
type JobService interface {
	// Submit runs a job, or recognises a resubmission, and returns its answer.
	Submit(ctx context.Context, spec model.JobSpec) wire.JobReply
	// Request runs a single request for which the caller sent no key.
	Request(ctx context.Context, spec model.JobSpec) wire.JobReply
	// Join returns the state of a job; with wait it waits until the job has ended.
	Join(ctx context.Context, key model.JobKey, wait bool) wire.JobReply
	// Cancel cancels a job.
	Cancel(ctx context.Context, key model.JobKey) wire.JobReply
}
