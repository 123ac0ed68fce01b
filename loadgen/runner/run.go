package runner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/figring/figring/client"
	"github.com/figring/figring/loadgen/trace"
)

// run is one run in progress.
type run struct {
	options Options
	jobs    []trace.Job
	started time.Time
	result  *Result
	// clients holds one client per target for each caller. All clients share
	// one transport.
	clients map[string][]*client.Client
}

// Run replays the jobs and returns when the last one has ended. If ctx ends
// first, the run stops early and open jobs count as lost.
func Run(ctx context.Context, jobs []trace.Job, options Options) (*Result, error) {
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	if err := options.check(jobs); err != nil {
		return nil, err
	}
	r := &run{options: options, jobs: jobs, result: newResult(len(jobs))}
	transport := newTransport()
	defer transport.CloseIdleConnections()
	if err := r.connect(transport); err != nil {
		return nil, err
	}
	r.start(ctx)
	r.result.Elapsed = time.Since(r.started)
	return r.result, nil
}

func newTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConns = 0
	transport.MaxIdleConnsPerHost = 1024
	transport.Proxy = nil
	return transport
}

func (r *run) connect(transport *http.Transport) error {
	r.clients = make(map[string][]*client.Client)
	for caller, token := range r.options.Tokens {
		for _, target := range r.options.Targets {
			one, err := client.New(client.Options{
				BaseURLs: []string{target},
				Token:    token,
				HTTP:     &http.Client{Transport: transport, CheckRedirect: noRedirect},
			})
			if err != nil {
				return Error.Wrap(err)
			}
			r.clients[caller] = append(r.clients[caller], one)
		}
	}
	return nil
}

// noRedirect disables redirects, so that requests go only to targets that
// passed CheckTarget.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// start sends every job at its intended time and waits until all have ended.
func (r *run) start(ctx context.Context) {
	r.started = time.Now()
	r.result.Started = r.started
	if r.options.Progress != nil {
		r.options.Progress(r.started)
	}
	var inFlight sync.WaitGroup
	for i := range r.jobs {
		if !sleep(ctx, time.Until(r.started.Add(r.jobs[i].At))) {
			break
		}
		inFlight.Go(func() { r.play(ctx, i) })
	}
	inFlight.Wait()
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
