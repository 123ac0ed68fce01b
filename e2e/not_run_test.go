package e2e

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"github.com/figring/figring/api"
	"github.com/figring/figring/model"
)

// targetGrace is longer than an entry takes jobs in without a target, after its
// start and after the last target went.
const targetGrace = 6 * time.Second

// refusalCase makes a submission that is refused before anything starts.
type refusalCase struct {
	code    model.Code
	prepare func(c *cluster)
	change  func(job *api.JobRequest)
	restore func(c *cluster)
}

var refusalCases = []refusalCase{
	{code: model.CodeInvalid, change: func(job *api.JobRequest) { job.Tasks[1].Class = "" }},
	{code: model.CodeInvalid, change: func(job *api.JobRequest) { job.Tasks = nil }},
	{code: model.CodeInvalid, change: func(job *api.JobRequest) { job.Key = uuid.NewString() }},
	{code: model.CodeInvalid, change: func(job *api.JobRequest) { job.Key = keyCreatedAt(time.Now().Add(2 * model.KeySkew)) }},
	{code: model.CodeUnrunnable, change: func(job *api.JobRequest) { job.Tasks[2].DeclaredSize = 1 << 43 }},
	{
		code:    model.CodeStoreUnavailable,
		prepare: func(c *cluster) { c.fault(`{"outage":true}`) },
		restore: func(c *cluster) { c.fault(`{}`) },
	},
	{
		code:    model.CodeNoCapacity,
		prepare: func(c *cluster) { c.removeEveryTarget() },
	},
}

// keyCreatedAt returns a key with that creation time inside.
func keyCreatedAt(created time.Time) string {
	id := uuid.Must(uuid.NewV7())
	millis := created.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (8 * (5 - i)))
	}
	return id.String()
}

func (c *cluster) removeEveryTarget() {
	for _, sidecar := range c.sidecars {
		must.EqOp(c.t, 0, sidecar.stop())
	}
	c.await("no target", func() bool {
		status, err := c.status(0)
		return err == nil && status.readyTargets() == 0
	})
	time.Sleep(targetGrace)
}

// TestNotRunIsTrue makes every refusal that says "not run" and looks into the
// ledger. A key that is older than the retention time may have been run.
func TestNotRunIsTrue(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 1, minions: 2})
	caller := newCaller(c)
	time.Sleep(targetGrace)
	for _, one := range refusalCases {
		job := caller.newJob(4, 10)
		if one.change != nil {
			one.change(job)
		}
		if one.prepare != nil {
			one.prepare(c)
		}
		c.await(string(one.code), func() bool {
			_, err := caller.submit(t.Context(), c.entries[0], job)
			told := problemIn(err)
			return told != nil && told.Code == one.code && told.Outcome == model.NotRun
		})
		if one.restore != nil {
			one.restore(c)
		}
	}
	old := caller.newJob(1, 10)
	old.Key = keyCreatedAt(time.Now().Add(-model.Retention - time.Minute))
	_, err := caller.submit(t.Context(), c.entries[0], old)
	told := problemIn(err)
	must.NotNil(t, told, must.Sprint(err))
	must.EqOp(t, model.CodeKeyExpired, told.Code)
	must.EqOp(t, model.Unknown, told.Outcome)
	must.SliceEmpty(t, c.starts())
	caller.judge()
}

// TestResubmitInFlightIsNeverNotRun submits slow jobs whose callers go away, and
// resubmits them at every entry while they run: as things are, while the store
// is down, and after the owner of a part of them was killed.
func TestResubmitInFlightIsNeverNotRun(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 2, minions: 3})
	caller := newCaller(c)
	time.Sleep(1500 * time.Millisecond) // Both entries own partitions then.
	var jobs []*api.JobRequest
	for range 8 {
		job := caller.newJob(2, 5000)
		jobs = append(jobs, job)
		go func() { _, _ = caller.submit(t.Context(), c.entries[0], job) }()
	}
	c.await("every start", func() bool { return len(c.starts()) == 16 })
	ask := func() {
		var wait sync.WaitGroup
		for _, job := range jobs {
			for _, entry := range c.entryList() {
				wait.Go(func() { caller.askShortly(entry, job) })
			}
		}
		wait.Wait()
	}
	ask()
	c.fault(`{"outage":true}`)
	ask()
	time.Sleep(model.SessionTTL + time.Second)
	ask()
	c.fault(`{}`)
	c.entries[1].kill()
	for _, job := range jobs {
		_, err := caller.submitUntil(job, finalLimit, c.onlyEntry(0))
		must.True(t, err == nil || lasting(err), must.Sprint(err))
	}
	must.Len(t, 16, c.starts())
	caller.judge()
}

// askShortly submits, asks for the state and gives up soon: no answer may say
// that the job was not run.
func (l *caller) askShortly(entry *process, job *api.JobRequest) {
	ctx, cancel := contextFor(l.t, 300*time.Millisecond)
	defer cancel()
	_, _ = l.submit(ctx, entry, job)
	shown, err := l.at(entry).Show(l.t.Context(), job.Key, 0)
	if told := problemIn(err); told != nil && told.Outcome == model.NotRun {
		l.t.Errorf("%s at %s: the state is %q while it runs", job.Key, entry.name, told)
	}
	if err == nil && shown.State != api.JobRunning && shown.State != api.JobComplete {
		content, _ := json.Marshal(shown)
		l.t.Errorf("%s at %s: %s", job.Key, entry.name, content)
	}
}
