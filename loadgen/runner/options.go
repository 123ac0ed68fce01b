package runner

import (
	"time"

	"github.com/figring/figring/loadgen/trace"
)

// Limits and defaults of a run.
const (
	// MaxJobs is the maximum number of jobs in a run.
	MaxJobs = 1_000_000
	// MaxDuration is the maximum time over which jobs arrive.
	MaxDuration = 10 * time.Minute
	// defaultTimeout is the job timeout when Options.Timeout is zero.
	defaultTimeout = 30 * time.Second
)

// Options configures a run.
type Options struct {
	// Targets are the base URLs of the entries.
	Targets []string
	// Tokens holds the bearer token of each caller.
	Tokens map[string]string
	// ClientDelay is a one-way delay added before each request and after its
	// response.
	ClientDelay time.Duration
	// Timeout is the timeout of each job; zero means 30 s.
	Timeout time.Duration
	// Retry resubmits refused jobs with the same key after the delay given in
	// the refusal, until their timeout expires.
	Retry bool
	// Progress, if not nil, is called at the start of the run.
	Progress func(started time.Time)
}

func (o *Options) check(jobs []trace.Job) error {
	if len(o.Targets) == 0 {
		return Error.New("no targets")
	}
	for _, target := range o.Targets {
		if err := CheckTarget(target); err != nil {
			return err
		}
	}
	if len(jobs) == 0 || len(jobs) > MaxJobs {
		return Error.New("the trace has %d jobs; it must have 1 to %d", len(jobs), MaxJobs)
	}
	for i := range jobs {
		if jobs[i].At > MaxDuration {
			return Error.New("a job arrives at %s, after the limit of %s", jobs[i].At, MaxDuration)
		}
		if _, known := o.Tokens[jobs[i].Caller]; !known {
			return Error.New("no token for caller %q", jobs[i].Caller)
		}
	}
	return nil
}
