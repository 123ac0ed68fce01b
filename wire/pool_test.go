package wire

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
)

// echoService returns the arguments of Lookup in its reply, so that a test can check
// that the fields survive the codec. Run blocks until release is closed.
type echoService struct{ release chan struct{} }

func (e *echoService) Lookup(args *LookupRequest, reply *LookupReply) error {
	reply.Sidecar = args.Entry
	reply.Started = time.UnixMilli(1_700_000_000_123).UTC()
	for _, key := range args.Keys {
		reply.Records = append(reply.Records, TaskRecord{Ref: model.TaskRef{Key: key, Index: 7}, Phase: PhaseDone})
	}
	return nil
}

func (e *echoService) Run(_ *RunRequest, _ *RunReply) error {
	<-e.release
	return nil
}

func startServer(t *testing.T, secret string, service *echoService) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := NewServer(secret, nil)
	must.NoError(t, server.Register("Sidecar", service))
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String()
}

func TestPoolRoundTrip(t *testing.T) {
	server, address := startServer(t, "s", &echoService{})
	defer server.Close()
	pool := NewPool("s", nil, nil)
	defer pool.Close()

	key := model.JobKey{Caller: "desk", ID: uuid.Must(uuid.NewV7())}
	var reply LookupReply
	args := &LookupRequest{Entry: "e.1", Keys: []model.JobKey{key}}
	must.NoError(t, pool.Call(t.Context(), address, MethodLookup, args, &reply))
	must.Eq(t, model.Incarnation("e.1"), reply.Sidecar)
	must.Eq(t, key, reply.Records[0].Ref.Key)
	must.Eq(t, 7, reply.Records[0].Ref.Index)
	must.True(t, time.UnixMilli(1_700_000_000_123).Equal(reply.Started))
}

func TestPoolErrors(t *testing.T) {
	t.Run("no listener", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		address := listener.Addr().String()
		must.NoError(t, listener.Close())
		pool := NewPool("s", nil, nil)
		defer pool.Close()
		err = pool.Call(t.Context(), address, MethodLookup, &LookupRequest{}, &LookupReply{})
		must.ErrorIs(t, err, ErrNotSent)
	})
	t.Run("wrong secret", func(t *testing.T) {
		server, address := startServer(t, "right", &echoService{})
		defer server.Close()
		pool := NewPool("wrong", nil, nil)
		defer pool.Close()
		err := pool.Call(t.Context(), address, MethodLookup, &LookupRequest{}, &LookupReply{})
		must.ErrorIs(t, err, ErrNotSent)
		must.ErrorIs(t, err, ErrHandshake)
	})
	t.Run("disconnected after the request was sent", func(t *testing.T) {
		service := &echoService{release: make(chan struct{})}
		server, address := startServer(t, "s", service)
		pool := NewPool("s", nil, nil)
		defer pool.Close()
		result := make(chan error, 1)
		go func() {
			result <- pool.Call(context.Background(), address, MethodRun, &RunRequest{}, &RunReply{})
		}()
		waitForConn(t, server)
		pool.Disconnect(address)
		must.ErrorIs(t, <-result, ErrOutcomeUnknown)
		close(service.release)
		server.Close()
	})
	t.Run("peer stopped after an earlier call", func(t *testing.T) {
		server, address := startServer(t, "s", &echoService{})
		pool := NewPool("s", nil, nil)
		defer pool.Close()
		must.NoError(t, pool.Call(t.Context(), address, MethodLookup, &LookupRequest{}, &LookupReply{}))
		server.Close()
		err := pool.Call(t.Context(), address, MethodLookup, &LookupRequest{}, &LookupReply{})
		must.Error(t, err)
	})
}

// waitForConn waits until the server has a connection, and then 20 ms longer for a
// request to be sent on it.
func waitForConn(t *testing.T, server *Server) {
	t.Helper()
	for range 2000 {
		server.mu.Lock()
		count := len(server.conns)
		server.mu.Unlock()
		if count > 0 {
			time.Sleep(20 * time.Millisecond)
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("no connection arrived")
}

func TestServerDrainWaitsForOpenCalls(t *testing.T) {
	service := &echoService{release: make(chan struct{})}
	server, address := startServer(t, "s", service)
	defer server.Close()
	pool := NewPool("s", nil, nil)
	defer pool.Close()
	result := make(chan error, 1)
	go func() { result <- pool.Call(context.Background(), address, MethodRun, &RunRequest{}, &RunReply{}) }()
	waitForConn(t, server)

	shortCtx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	must.ErrorIs(t, server.Drain(shortCtx), context.DeadlineExceeded)
	close(service.release)
	must.NoError(t, server.Drain(t.Context()))
	must.NoError(t, <-result)
}

// TestPoolDiscardsLateReplies guards against writing a response that arrives after
// the caller's context has ended to the reply value, which the caller may still
// read. The race detector reports such a write.
func TestPoolDiscardsLateReplies(t *testing.T) {
	service := &delayedService{release: make(chan struct{}), answered: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := NewServer("s", nil)
	must.NoError(t, server.Register("Sidecar", service))
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	pool := NewPool("s", nil, nil)
	defer pool.Close()

	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	var reply RunReply
	err = pool.Call(ctx, listener.Addr().String(), MethodRun, &RunRequest{}, &reply)
	must.ErrorIs(t, err, ErrOutcomeUnknown)
	close(service.release)
	<-service.answered
	must.NoError(t, pool.Call(t.Context(), listener.Addr().String(), MethodLookup, &LookupRequest{}, &LookupReply{}))
	must.Eq(t, RunStatus(""), reply.Status)
}

// delayedService replies to Run only after release is closed.
type delayedService struct{ release, answered chan struct{} }

func (s *delayedService) Run(_ *RunRequest, reply *RunReply) error {
	<-s.release
	reply.Status = RunDone
	close(s.answered)
	return nil
}

func (s *delayedService) Lookup(_ *LookupRequest, _ *LookupReply) error { return nil }
