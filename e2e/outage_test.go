package e2e

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/api"
	"github.com/figring/figring/client"
	"github.com/figring/figring/model"
)

// TestStoreOutage takes the platform down: work is refused at once as not run,
// nothing of it was started, and the same key runs once the platform is back.
func TestStoreOutage(t *testing.T) {
	c := newCluster(t, layout{entries: 1, minions: 2})
	one := c.client(0)
	c.fault(`{"outage":true}`)
	time.Sleep(model.BundleTTL + 200*time.Millisecond)

	job := newJob(4, 10)
	begun := time.Now()
	_, err := one.SubmitOnce(t.Context(), job)
	var refusal *client.Problem
	must.True(t, errors.As(err, &refusal), must.Sprint(err))
	must.EqOp(t, model.CodeStoreUnavailable, refusal.Code)
	must.EqOp(t, model.NotRun, refusal.Outcome)
	must.Positive(t, refusal.RetryAfterMs)
	must.Less(t, time.Second, time.Since(begun))
	must.MapEmpty(t, c.startsOf(job.Key))

	// Once the lease is over, another entry may have run an earlier submission.
	time.Sleep(model.SessionTTL + 500*time.Millisecond - model.BundleTTL)
	_, err = one.SubmitOnce(t.Context(), job)
	must.True(t, errors.As(err, &refusal), must.Sprint(err))
	must.EqOp(t, model.Unknown, refusal.Outcome)

	c.fault(`{}`)
	answer, err := one.Submit(t.Context(), job)
	must.NoError(t, err)
	must.EqOp(t, api.JobComplete, answer.State)
	for task, count := range c.startsOf(job.Key) {
		must.EqOp(t, 1, count, must.Sprintf("task %d", task))
	}
}
