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
	testSecret   = "s"
	loopbackAddress = "127.0.0.1:0"
	// eventTimeout bounds every wait for something that must happen.
	eventTimeout = 20 * time.Second
)

// scriptedSidecar answers every Run as its test says.
type scriptedSidecar struct {
	target  wire.Target
	message atomic.Uint64
	mu      sync.Mutex
	replyTo  func(request *wire.RunRequest) wire.RunReply
	requests     []wire.RunRequest
}

// Run implements the method Sidecar.Run.
func (s *scriptedSidecar) Run(request *wire.RunRequest, reply *wire.RunReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, *request)
	*reply = s.replyTo(request)
	reply.Message = s.message.Add(1)
	return nil
}

// Withdraw implements the method Sidecar.Withdraw.
func (s *scriptedSidecar) Withdraw(*wire.WithdrawRequest, *wire.WithdrawReply) error { return nil }

func (s *scriptedSidecar) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// setReply sets what the sidecar setReply from now on, and forgets its runs.
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

// renew reports to an entry once and returns the permit's length.
func (s *scriptedSidecar) renew(pool *wire.Pool, address string) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	number := s.message.Add(1)
	request := &wire.RenewRequest{Target: s.target, Load: wire.Load{Sequence: number}, Message: number}
	var reply wire.RenewReply
	if pool.Call(ctx, address, wire.MethodRenew, request, &reply) != nil {
		return 0
	}
	return reply.Permit.TTL
}

// testEntry is an entry on the loopback network.
type testEntry struct {
	*Entry
	t         *testing.T
	ctx       context.Context
	pool      *wire.Pool
	reporting sync.WaitGroup
}

// startTestEntry runs an entry to which one sidecar reports.
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

// report lets a sidecar report from now on, and returns once it has a permit.
func (r *testEntry) report(s *scriptedSidecar) {
	granted := make(chan struct{}, 1)
	r.reporting.Go(func() { keepReporting(r.ctx, s, r.pool, r.RPCAddress(), granted) })
	select {
	case <-granted:
	case <-time.After(eventTimeout):
		r.t.Error("the entry grants no permit")
	}
}

// keepReporting renews until ctx ends, and tells of the first permit.
func keepReporting(ctx context.Context, s *scriptedSidecar, pool *wire.Pool, address string, granted chan<- struct{}) {
	told := false
	for ctx.Err() == nil {
		if s.renew(pool, address) > 0 && !told {
			told = true
			granted <- struct{}{}
		}
		_ = pause.For(ctx, 100*time.Millisecond)
	}
}

// validReply answers with a whole result.
func validReply(request *wire.RunRequest) wire.RunReply {
	return doneReply(&openRun{address: "minion", request: *request}, 200)
}

// newTestJob returns a job of tasks with a fresh key.
func newTestJob(tasks int) model.JobSpec {
	spec := model.JobSpec{Key: model.NewJobKey(testCaller), Timeout: eventTimeout}
	for range tasks {
		spec.Tasks = append(spec.Tasks, model.TaskSpec{Class: "eligibility"})
	}
	return spec
}

// TestMalformedReplyToJobOverNetwork gives an entry, over the network, answers that are not those
// to its calls. A job of such a task fails with an unknown outcome and delivers
// nothing; its key starts nothing again; the next job is unharmed.
func TestMalformedReplyToJobOverNetwork(t *testing.T) {
	sidecar := newScriptedSidecar(t, 1)
	r := startTestEntry(t, sidecar)
	for _, c := range malformed {
		t.Run(c.name, func(t *testing.T) {
			sidecar.setReply(func(request *wire.RunRequest) wire.RunReply {
				reply := validReply(request)
				c.spoil(&reply)
				return reply
			})
			spec := newTestJob(1)
			reply := r.Front().Submit(t.Context(), spec)
			must.NotNil(t, reply.Answer, must.Sprint(reply.Refusal))
			must.EqOp(t, model.Failed, reply.Answer.State)
			must.EqOp(t, model.CodeTaskUnknown, reply.Answer.Code)
			must.EqOp(t, model.Unknown, reply.Answer.Outcome)
			must.SliceEmpty(t, reply.Answer.Results)
			must.Eq(t, reply, r.Front().Submit(t.Context(), spec))
			must.EqOp(t, 1, sidecar.runCount())

			sidecar.setReply(validReply)
			next := r.Front().Submit(t.Context(), newTestJob(2))
			must.NotNil(t, next.Answer, must.Sprint(next.Refusal))
			must.EqOp(t, model.Complete, next.Answer.State)
		})
	}
}

// TestMalformedReplyToRequestOverNetwork gives an idempotent request such an answer, also over
// the network, after a second sidecar has reported: that one answers.
func TestMalformedReplyToRequestOverNetwork(t *testing.T) {
	liar, other := newScriptedSidecar(t, 1), newScriptedSidecar(t, 2)
	other.setReply(validReply)
	r := startTestEntry(t, liar)
	liar.setReply(func(request *wire.RunRequest) wire.RunReply {
		r.report(other)
		reply := validReply(request)
		reply.Result.Body = reply.Result.Body[:1]
		return reply
	})
	spec := newTestJob(1)
	spec.Idempotent = true
	spec.Tasks[0].DeclaredRun = eventTimeout
	reply := r.Front().Request(t.Context(), spec)
	must.NotNil(t, reply.Answer, must.Sprint(reply.Refusal))
	must.EqOp(t, model.Complete, reply.Answer.State)
	must.EqOp(t, 1, liar.runCount())
	must.EqOp(t, 1, other.runCount())
}
