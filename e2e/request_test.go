package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/api"
	"github.com/figring/figring/client"
	"github.com/figring/figring/minion"
	"github.com/figring/figring/model"
)

// newRequest returns a single request without a key.
func newRequest(runMs, declaredRunMs int, idempotent bool) *api.SingleRequest {
	return &api.SingleRequest{
		Idempotent:    idempotent,
		TimeoutMs:     20_000,
		Class:         "conflict-check",
		Payload:       json.RawMessage(fmt.Sprintf(`{"runMs":%d,"output":"checked"}`, runMs)),
		DeclaredRunMs: int64(declaredRunMs),
	}
}

// requestEnd is how a request ended.
type requestEnd struct {
	answer *api.JobResponse
	err    error
}

// begin sends a request and returns its first start and its end.
func (c *cluster) begin(request *api.SingleRequest) (minion.Start, <-chan requestEnd) {
	c.t.Helper()
	before := len(c.ledger())
	ended := make(chan requestEnd, 1)
	one := c.client(0)
	go func() {
		answer, err := one.Request(context.Background(), request)
		ended <- requestEnd{answer, err}
	}()
	c.await("the request to start", func() bool { return len(c.ledger()) > before })
	return c.ledger()[before], ended
}

// sidecarOf returns the sidecar beside the minion of a worker.
func (c *cluster) sidecarOf(worker string) *process {
	c.t.Helper()
	for i := range c.sidecars {
		if worker == fmt.Sprintf("worker-%d", i+1) {
			return c.sidecars[i]
		}
	}
	c.t.Fatalf("no sidecar at %q", worker)
	return nil
}

// TestRequestRetriedElsewhere kills the sidecar that runs an idempotent
// request: the answer comes from another worker.
func TestRequestRetriedElsewhere(t *testing.T) {
	c := newCluster(t, layout{entries: 1, minions: 3})
	first, ended := c.begin(newRequest(400, 5_000, true))
	c.sidecarOf(first.Worker).kill()
	end := <-ended
	must.NoError(t, end.err)
	must.EqOp(t, api.JobComplete, end.answer.State)
	must.NotEq(t, first.Worker, end.answer.Results[0].Worker)
	must.Len(t, 2, c.ledger())
}

// TestRequestNotRepeated kills the sidecar that runs a non-idempotent request:
// it fails at once with an unknown outcome and is started nowhere else.
func TestRequestNotRepeated(t *testing.T) {
	c := newCluster(t, layout{entries: 1, minions: 3})
	first, ended := c.begin(newRequest(400, 5_000, false))
	c.sidecarOf(first.Worker).kill()
	end := <-ended
	var refusal *client.Problem
	must.True(t, errors.As(end.err, &refusal), must.Sprint(end.err))
	must.EqOp(t, model.CodeTaskUnknown, refusal.Code)
	must.EqOp(t, model.Unknown, refusal.Outcome)
	time.Sleep(time.Second)
	must.Len(t, 1, c.ledger())
}

// TestRequestHedged freezes the sidecar that runs an idempotent request: its
// connection stays open, and the answer comes from a second worker.
func TestRequestHedged(t *testing.T) {
	c := newCluster(t, layout{entries: 1, minions: 3})
	first, ended := c.begin(newRequest(1000, 50, true))
	frozen := c.sidecarOf(first.Worker)
	frozen.signal(syscall.SIGSTOP)
	select {
	case end := <-ended:
		must.NoError(t, end.err)
		must.EqOp(t, api.JobComplete, end.answer.State)
		must.NotEq(t, first.Worker, end.answer.Results[0].Worker)
	case <-time.After(5 * time.Second):
		t.Fatal("the request waits for a frozen worker")
	}
	frozen.signal(syscall.SIGCONT)
}

// TestRequestsUnderOneKilledWorker measures how many requests succeed while a
// worker dies, with retries and without.
func TestRequestsUnderOneKilledWorker(t *testing.T) {
	idempotent, failures := requestsWhileWorkerDies(t, true)
	must.EqOp(t, idempotent.sent, idempotent.succeeded, must.Sprint(failures))
	single, failures := requestsWhileWorkerDies(t, false)
	must.Less(t, single.sent, single.succeeded)
	for _, err := range failures {
		var refusal *client.Problem
		must.True(t, errors.As(err, &refusal), must.Sprint(err))
		must.EqOp(t, model.Unknown, refusal.Outcome)
	}
	t.Logf("succeeded: idempotent %d of %d with %d starts, non-idempotent %d of %d with %d starts",
		idempotent.succeeded, idempotent.sent, idempotent.starts, single.succeeded, single.sent, single.starts)
	must.LessEq(t, single.sent, single.starts)
}

// requestCounts sums up a run of requests.
type requestCounts struct{ sent, succeeded, starts int }

func requestsWhileWorkerDies(t *testing.T, idempotent bool) (requestCounts, []error) {
	const (
		senders  = 32
		each     = 10
		killedAt = senders * 3
	)
	c := newCluster(t, layout{entries: 1, minions: 4})
	one := c.client(0)
	var wait sync.WaitGroup
	var ended atomic.Int64
	results := make(chan error, senders*each)
	for range senders {
		wait.Go(func() {
			for range each {
				_, err := one.Request(t.Context(), newRequest(100, 100, idempotent))
				results <- err
				if ended.Add(1) == killedAt {
					c.sidecars[0].kill()
				}
			}
		})
	}
	wait.Wait()
	close(results)
	counts := requestCounts{sent: senders * each, starts: len(c.ledger())}
	var failures []error
	for err := range results {
		if err == nil {
			counts.succeeded++
		} else {
			failures = append(failures, err)
		}
	}
	return counts, failures
}
