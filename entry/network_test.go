package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store/memory"
	"github.com/figring/figring/wire"
)

const (
	testSecret      = "s"
	loopbackAddress = "127.0.0.1:0"
	// eventTimeout bounds every wait for an event that must happen.
	eventTimeout = 20 * time.Second
)

// scriptedSidecar is a sidecar that answers every Run call with replyTo.
type scriptedSidecar struct {
	target   wire.Target
	message  atomic.Uint64
	mu       sync.Mutex
	replyTo  func(request *wire.RunRequest) wire.RunReply
	requests []wire.RunRequest
}

// Run implements the method Sidecar.Run.
func (s *scriptedSidecar) Run(request *wire.RunRequest, reply *wire.RunReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, *request)
	*reply = s.replyTo(request)
	reply.MessageNumber = s.message.Add(1)
	return nil
}

// Withdraw implements the method Sidecar.Withdraw.
func (s *scriptedSidecar) Withdraw(*wire.WithdrawRequest, *wire.WithdrawReply) error { return nil }

func (s *scriptedSidecar) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// setReply sets the function that computes replies, and clears the recorded
// requests.
func (s *scriptedSidecar) setReply(answer func(request *wire.RunRequest) wire.RunReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replyTo = answer
	s.requests = nil
}

func newScriptedSidecar(t *testing.T, number int) *scriptedSidecar {
	t.Helper()
	s := &scriptedSidecar{target: target(number)}
	server := wire.NewServer(testSecret, nil)
	must.NoError(t, server.Register("Sidecar", s))
	listener, err := net.Listen("tcp", loopbackAddress)
	must.NoError(t, err)
	s.target.Address = listener.Addr().String()
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	return s
}

// renew sends one renewal to an entry and returns the TTL of the permit granted,
// 0 when the call failed.
func (s *scriptedSidecar) renew(pool *wire.Pool, address string) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	number := s.message.Add(1)
	request := &wire.RenewRequest{Target: s.target, Load: wire.Load{Sequence: number}, MessageNumber: number}
	var reply wire.RenewReply
	if pool.Call(ctx, address, wire.MethodRenew, request, &reply) != nil {
		return 0
	}
	return reply.Permit.TTL
}

// testEntry is an entry process that serves on the loopback network.
type testEntry struct {
	*Entry
	t         *testing.T
	ctx       context.Context
	pool      *wire.Pool
	reporting sync.WaitGroup
}

// startTestEntry runs an entry and waits until it granted the first sidecar a
// permit.
func startTestEntry(t *testing.T, first *scriptedSidecar) *testEntry {
	t.Helper()
	built, err := New(Options{
		Name: "entry-1", Zone: testZone, Secret: testSecret,
		RPCListen: loopbackAddress, CallersListen: loopbackAddress, StatusListen: loopbackAddress,
		Table: memory.NewTable(), Objects: memory.NewObjects(), ReadyDelay: time.Millisecond,
		Metrics: metrics.NewRoot(), Log: &log.Logger{Level: log.PanicLevel},
	})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &testEntry{Entry: built, t: t, ctx: ctx, pool: wire.NewPool(testSecret, nil, nil)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = built.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		r.reporting.Wait()
		<-ended
		r.pool.Close()
	})
	r.report(first)
	return r
}

// report starts the periodic renewals of a sidecar, and returns once it has a
// permit.
func (r *testEntry) report(s *scriptedSidecar) {
	granted := make(chan struct{}, 1)
	r.reporting.Go(func() { keepReporting(r.ctx, s, r.pool, r.RPCAddress(), granted) })
	select {
	case <-granted:
	case <-time.After(eventTimeout):
		r.t.Error("the entry grants no permit")
	}
}

// keepReporting renews until ctx ends, and signals granted at the first permit.
func keepReporting(ctx context.Context, s *scriptedSidecar, pool *wire.Pool, address string, granted chan<- struct{}) {
	signalled := false
	for ctx.Err() == nil {
		if s.renew(pool, address) > 0 && !signalled {
			signalled = true
			granted <- struct{}{}
		}
		_ = pause.For(ctx, 100*time.Millisecond)
	}
}

// validReply returns a reply with a result that matches the request.
func validReply(request *wire.RunRequest) wire.RunReply {
	return doneReply(&openRun{address: "minion", request: *request}, 200)
}

// newTestJob returns a job with the given number of tasks and a new key.
func newTestJob(tasks int) model.JobSpec {
	spec := model.JobSpec{Key: model.NewJobKey(testCaller), Timeout: eventTimeout}
	for range tasks {
		spec.Tasks = append(spec.Tasks, model.TaskSpec{Class: "eligibility"})
	}
	return spec
}

// TestMalformedReplyToJobOverNetwork answers a job's task with a malformed reply
// over the network. The job fails with an unknown outcome and without results, a
// resubmission of its key starts nothing, and the next job completes.
func TestMalformedReplyToJobOverNetwork(t *testing.T) {
	sidecar := newScriptedSidecar(t, 1)
	r := startTestEntry(t, sidecar)
	for _, c := range malformedReplies {
		t.Run(c.name, func(t *testing.T) {
			sidecar.setReply(func(request *wire.RunRequest) wire.RunReply {
				reply := validReply(request)
				c.corrupt(&reply)
				return reply
			})
			spec := newTestJob(1)
			reply := r.Forwarder().Submit(t.Context(), spec)
			must.NotNil(t, reply.Answer, must.Sprint(reply.Refusal))
			must.EqOp(t, model.Failed, reply.Answer.State)
			must.EqOp(t, model.CodeTaskUnknown, reply.Answer.Code)
			must.EqOp(t, model.Unknown, reply.Answer.Outcome)
			must.SliceEmpty(t, reply.Answer.Results)
			must.Eq(t, reply, r.Forwarder().Submit(t.Context(), spec))
			must.EqOp(t, 1, sidecar.runCount())

			sidecar.setReply(validReply)
			next := r.Forwarder().Submit(t.Context(), newTestJob(2))
			must.NotNil(t, next.Answer, must.Sprint(next.Refusal))
			must.EqOp(t, model.Complete, next.Answer.State)
		})
	}
}

// TestMalformedReplyToRequestOverNetwork answers an idempotent request with a
// malformed reply over the network, after a second sidecar has reported: the
// request is run again at that second sidecar, which answers it.
func TestMalformedReplyToRequestOverNetwork(t *testing.T) {
	faulty, other := newScriptedSidecar(t, 1), newScriptedSidecar(t, 2)
	other.setReply(validReply)
	r := startTestEntry(t, faulty)
	faulty.setReply(func(request *wire.RunRequest) wire.RunReply {
		r.report(other)
		reply := validReply(request)
		reply.Result.Body = reply.Result.Body[:1]
		return reply
	})
	spec := newTestJob(1)
	spec.Idempotent = true
	spec.Tasks[0].DeclaredRun = eventTimeout
	reply := r.Forwarder().Request(t.Context(), spec)
	must.NotNil(t, reply.Answer, must.Sprint(reply.Refusal))
	must.EqOp(t, model.Complete, reply.Answer.State)
	must.EqOp(t, 1, faulty.runCount())
	must.EqOp(t, 1, other.runCount())
}
