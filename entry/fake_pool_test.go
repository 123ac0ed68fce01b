package entry

import (
	"context"
	"fmt"
	"reflect"
	"sync"

	"github.com/figring/figring/wire"
)

// openRun is a Run call that stays open until the test ends it.
type openRun struct {
	address string
	request wire.RunRequest
	end     chan runEnd
}

// runEnd is the reply or the error that ends an openRun.
type runEnd struct {
	reply wire.RunReply
	err   error
}

func (r *openRun) reply(reply wire.RunReply) { r.end <- runEnd{reply: reply} }
func (r *openRun) fail(err error)            { r.end <- runEnd{err: err} }

// fakePool replaces the network. Run calls stay open until the test ends them;
// other methods are answered by handlers that the test sets.
type fakePool struct {
	mu       sync.Mutex
	runs     []*openRun
	returned int
	calls    map[string][]any
	handlers map[string]func(address string, args any) (any, error)
	forgot   []string
}

var _ rpcCaller = (*fakePool)(nil)

func newFakePool() *fakePool {
	return &fakePool{
		calls:    make(map[string][]any),
		handlers: make(map[string]func(string, any) (any, error)),
	}
}

// Call implements rpcCaller.
func (p *fakePool) Call(ctx context.Context, address, method string, args, reply any) error {
	if method == wire.MethodRun {
		return p.run(ctx, address, args.(*wire.RunRequest), reply.(*wire.RunReply))
	}
	p.mu.Lock()
	p.calls[method] = append(p.calls[method], args)
	handler := p.handlers[method]
	p.mu.Unlock()
	if handler == nil {
		return fmt.Errorf("%w: no answer to %s", wire.ErrOutcomeUnknown, method)
	}
	got, err := handler(address, args)
	if err == nil {
		reflect.ValueOf(reply).Elem().Set(reflect.ValueOf(got))
	}
	return err
}

func (p *fakePool) run(ctx context.Context, address string, request *wire.RunRequest, reply *wire.RunReply) error {
	one := &openRun{address: address, request: *request, end: make(chan runEnd, 1)}
	p.mu.Lock()
	p.runs = append(p.runs, one)
	p.mu.Unlock()
	select {
	case end := <-one.end:
		*reply = end.reply
		return end.err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", wire.ErrOutcomeUnknown, ctx.Err())
	}
}

// Disconnect implements rpcCaller.
func (p *fakePool) Disconnect(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgot = append(p.forgot, address)
}

// setHandler sets the handler of a method.
func (p *fakePool) setHandler(method string, handler func(address string, args any) (any, error)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handlers[method] = handler
}

// callArgs returns the arguments of the calls of a method.
func (p *fakePool) callArgs(method string) []any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]any(nil), p.calls[method]...)
}

func (p *fakePool) forgotten() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.forgot...)
}

// newRuns returns the Run calls that were made since newRuns was last called.
func (p *fakePool) newRuns() []*openRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := append([]*openRun(nil), p.runs[p.returned:]...)
	p.returned = len(p.runs)
	return list
}
