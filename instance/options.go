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

// Options are what a process gets besides its settings.
type Options struct {
	// Out takes the log.
	Out io.Writer
	// Reload reads the settings again and reports what is wrong with them.
	Reload func(context.Context) error
}

// stopMargin is kept free of the grace before the end by force.
const stopMargin = 500 * time.Millisecond

// followHangups reads the settings again at each SIGHUP. What can't change
// while the process runs comes into force at its next start.
func followHangups(ctx context.Context, options Options, log *eventlog.Log) {
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
