package instance

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/figring/figring/common/eventlog"
)

// Error is the class of this package's errors.
var Error = errs.Class("instance")

// Options are the parameters of a process that are not part of its settings.
type Options struct {
	// Out is where the event log is written.
	Out io.Writer
	// Reload reads the settings again and returns an error if they are invalid.
	Reload func(context.Context) error
}

// stopMargin is the end of the stop grace period that draining leaves unused, so
// that the process exits before it is killed.
const stopMargin = 500 * time.Millisecond

// reloadOnHangup reads the settings again at each SIGHUP and logs the result.
// Settings that cannot change while the process runs take effect at its next start.
func reloadOnHangup(ctx context.Context, options Options, log *eventlog.Log) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-hangups:
			line := log.Failure(eventlog.KindReload)
			if err := options.Reload(ctx); err != nil {
				line = line.Err(err)
			}
			line.Msg("")
		case <-ctx.Done():
			return
		}
	}
}
