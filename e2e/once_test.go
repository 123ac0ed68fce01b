package e2e

import (
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/api"
	"github.com/figring/figring/model"
)

// TestSameKeyAtTwoEntriesAtOnce submits each key at two entries at the same
// moment, and once more while the first submissions are in flight.
func TestSameKeyAtTwoEntriesAtOnce(t *testing.T) {
	c := newCluster(t, layout{entries: 2, minions: 2})
	caller := newCaller(c)
	var wait sync.WaitGroup
	for range 20 {
		job := caller.newJob(5, 50)
		for _, entry := range append(c.entryList(), c.entryList()...) {
			wait.Go(func() {
				answer, err := caller.submit(t.Context(), entry, job)
				if err != nil {
					t.Errorf("%s at %s: %v", job.Key, entry.name, err)
				} else if answer.State != api.JobComplete {
					t.Errorf("%s at %s: %s", job.Key, entry.name, answer.State)
				}
			})
		}
	}
	wait.Wait()
	caller.judge()
}

// TestOtherBodyUnderSameKey submits another body under a key, while the first
// job runs and after its end: it is refused, and nothing more is started.
func TestOtherBodyUnderSameKey(t *testing.T) {
	c := newCluster(t, layout{entries: 2, minions: 1})
	caller := newCaller(c)
	job := caller.newJob(3, 400)
	other := *job
	other.Tasks = append([]api.TaskRequest(nil), job.Tasks...)
	other.Tasks[1].Payload = payloadOf(job.Key, 1, 401)

	var wait sync.WaitGroup
	wait.Go(func() { _, _ = caller.submit(t.Context(), c.entries[0], job) })
	c.await("the first start", func() bool { return len(c.starts()) > 0 })
	refuseOther := func() {
		for _, entry := range c.entryList() {
			_, err := caller.submit(t.Context(), entry, &other)
			told := problemIn(err)
			must.NotNil(t, told, must.Sprint(err))
			must.EqOp(t, model.CodeKeyConflict, told.Code)
		}
	}
	refuseOther()
	wait.Wait()
	refuseOther()
	must.Len(t, 3, c.starts())
	caller.judge()
}
