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
	roleSecret   = "s"
	roleLoopback = "127.0.0.1:0"
	// rolePatience bounds every wait for something that must happen.
	rolePatience = 20 * time.Second
)

// lyingSidecar answers every Run as its test says.
type lyingSidecar struct {
	target  wire.Target
	message atomic.Uint64
	mu      sync.Mutex
	answer  func(request *wire.RunRequest) wire.RunReply
	ran     []wire.RunRequest
}

// Run implements the method Sidecar.Run.
func (s *lyingSidecar) Run(request *wire.RunRequest, reply *wire.RunReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran = append(s.ran, *request)
	*reply = s.answer(request)
	reply.Message = s.message.Add(1)
	return nil
}

// Withdraw implements the method Sidecar.Withdraw.
func (s *lyingSidecar) Withdraw(*wire.WithdrawRequest, *wire.WithdrawReply) error { return nil }

func (s *lyingSidecar) runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ran)
}

// answers sets what the sidecar answers from now on, and forgets its runs.
func (s *lyingSidecar) answers(answer func(request *wire.RunRequest) wire.RunReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
	s.ran = nil
}

func newLyingSidecar(t *testing.T, number int) *lyingSidecar {
	t.Helper()
	s := &lyingSidecar{target: target(number)}
	server := wire.NewServer(roleSecret, nil)
	must.NoError(t, server.Register("Sidecar", s))
	listener, err := net.Listen("tcp", roleLoopback)
	must.NoError(t, err)
	s.target.Address = listener.Addr().String()
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	return s
}

// renew reports to an entry once and returns the permit's length.
func (s *lyingSidecar) renew(pool *wire.Pool, address string) time.Duration {
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

// role is an entry on the loopback network.
type role struct {
	*Entry
	t         *testing.T
	ctx       context.Context
	pool      *wire.Pool
	reporting sync.WaitGroup
}

// startRole runs an entry to which one sidecar reports.
func startRole(t *testing.T, first *lyingSidecar) *role {
	t.Helper()
	built, err := New(Options{
		Name: "entry-1", Zone: testZone, Secret: roleSecret,
		RPCListen: roleLoopback, CallersListen: roleLoopback, StatusListen: roleLoopback,
		Table: memory.NewTable(), Objects: memory.NewObjects(), ReadyDelay: time.Millisecond,
		Metrics: metrics.NewRoot(), Log: &log.Logger{Level: log.PanicLevel},
	})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &role{Entry: built, t: t, ctx: ctx, pool: wire.NewPool(roleSecret, nil, nil)}
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
func (r *role) report(s *lyingSidecar) {
	granted := make(chan struct{}, 1)
	r.reporting.Go(func() { keepReporting(r.ctx, s, r.pool, r.RPCAddress(), granted) })
	select {
	case <-granted:
	case <-time.After(rolePatience):
		r.t.Error("the entry grants no permit")
	}
}

// keepReporting renews until ctx ends, and tells of the first permit.
func keepReporting(ctx context.Context, s *lyingSidecar, pool *wire.Pool, address string, granted chan<- struct{}) {
	told := false
	for ctx.Err() == nil {
		if s.renew(pool, address) > 0 && !told {
			told = true
			granted <- struct{}{}
		}
		_ = pause.For(ctx, 100*time.Millisecond)
	}
}

// honest answers with a whole result.
func honest(request *wire.RunRequest) wire.RunReply {
	return doneReply(&openRun{address: "minion", request: *request}, 200)
}

// roleJob returns a job of tasks with a fresh key.
func roleJob(tasks int) model.JobSpec {
	spec := model.JobSpec{Key: model.NewJobKey(testCaller), Timeout: rolePatience}
	for range tasks {
		spec.Tasks = append(spec.Tasks, model.TaskSpec{Class: "eligibility"})
	}
	return spec
}

// TestLyingSidecar gives an entry, over the network, answers that are not those
// to its calls. A job of such a task fails with an unknown outcome and delivers
// nothing; its key starts nothing again; the next job is unharmed.
func TestLyingSidecar(t *testing.T) {
	sidecar := newLyingSidecar(t, 1)
	r := startRole(t, sidecar)
	for _, c := range malformed {
		t.Run(c.name, func(t *testing.T) {
			sidecar.answers(func(request *wire.RunRequest) wire.RunReply {
				reply := honest(request)
				c.spoil(&reply)
				return reply
			})
			spec := roleJob(1)
			reply := r.Front().Submit(t.Context(), spec)
			must.NotNil(t, reply.Answer, must.Sprint(reply.Refusal))
			must.EqOp(t, model.Failed, reply.Answer.State)
			must.EqOp(t, model.CodeTaskUnknown, reply.Answer.Code)
			must.EqOp(t, model.Unknown, reply.Answer.Outcome)
			must.SliceEmpty(t, reply.Answer.Results)
			must.Eq(t, reply, r.Front().Submit(t.Context(), spec))
			must.EqOp(t, 1, sidecar.runs())

			sidecar.answers(honest)
			next := r.Front().Submit(t.Context(), roleJob(2))
			must.NotNil(t, next.Answer, must.Sprint(next.Refusal))
			must.EqOp(t, model.Complete, next.Answer.State)
		})
	}
}

// TestLyingSidecarIsLeft gives an idempotent request such an answer, also over
// the network, after a second sidecar has reported: that one answers.
func TestLyingSidecarIsLeft(t *testing.T) {
	liar, other := newLyingSidecar(t, 1), newLyingSidecar(t, 2)
	other.answers(honest)
	r := startRole(t, liar)
	liar.answers(func(request *wire.RunRequest) wire.RunReply {
		r.report(other)
		reply := honest(request)
		reply.Result.Body = reply.Result.Body[:1]
		return reply
	})
	spec := roleJob(1)
	spec.Idempotent = true
	spec.Tasks[0].DeclaredRun = rolePatience
	reply := r.Front().Request(t.Context(), spec)
	must.NotNil(t, reply.Answer, must.Sprint(reply.Refusal))
	must.EqOp(t, model.Complete, reply.Answer.State)
	must.EqOp(t, 1, liar.runs())
	must.EqOp(t, 1, other.runs())
}
