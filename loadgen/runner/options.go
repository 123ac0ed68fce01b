package runner

import (
	"time"

	"github.com/figring/figring/loadgen/trace"
)

// The bounds of a run.
const (
	// MaxJobs bounds the jobs of a run.
	MaxJobs = 1_000_000
	// MaxDuration bounds the time over which jobs arrive.
	MaxDuration = 10 * time.Minute
	// defaultTimeout is the timeout of a job.
	defaultTimeout = 30 * time.Second
)

// Options configures a run.
type Options struct {
	// Targets are the base URLs of the entries.
	Targets []string
	// Tokens holds the bearer token of each caller.
	Tokens map[string]string
	// ClientDelay is a one-way delay added before a request and after its
	// answer.
	ClientDelay time.Duration
	// Timeout is the timeout of each job; zero means 30 s.
	Timeout time.Duration
	// Retry lets refused jobs come back with the same key after the time that
	// the refusal names, until their timeout is over.
	Retry bool
	// Progress may be nil; it is called at the start of the run.
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
		return Error.New("%d jobs: want 1 to %d", len(jobs), MaxJobs)
	}
	for i := range jobs {
		if jobs[i].At > MaxDuration {
			return Error.New("a job arrives after %s, later than %s", jobs[i].At, MaxDuration)
		}
		if _, known := o.Tokens[jobs[i].Caller]; !known {
			return Error.New("no token for the caller %q", jobs[i].Caller)
		}
	}
	return nil
}
