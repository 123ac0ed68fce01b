package rollout

import (
	"io"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// WatcherOptions configures a Watcher.
type WatcherOptions struct {
	// Now defaults to time.Now. It must be monotonic.
	Now func() time.Time
	// Logger receives a line for each change of version and of freshness.
	Logger *log.Logger
	// Scope receives the counters bundle_reads, bundle_read_errors,
	// bundle_reads_skipped, bundle_older_dropped and bundle_versions.
	Scope tally.Scope
}

func (o WatcherOptions) withDefaults() WatcherOptions {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}
