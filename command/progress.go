package command

import (
	"fmt"
	"io"
	"os"
	"time"
)

const (
	// progressInterval is the time between two updates of the progress line.
	progressInterval = 200 * time.Millisecond
	// clearLine is the terminal control sequence that returns to the start of the
	// line and clears the line.
	clearLine = "\r\x1b[K"
)

// withProgress runs work. If errOut is a terminal, it shows the activity and the
// elapsed time until work returns.
func withProgress(errOut io.Writer, activity string, work func() error) error {
	if !isTerminal(errOut) {
		return work()
	}
	done := make(chan error, 1)
	go func() { done <- work() }()
	started := time.Now()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			fmt.Fprint(errOut, clearLine)
			return err
		case now := <-ticker.C:
			fmt.Fprintf(errOut, "%s%s, %.1f s", clearLine, activity, now.Sub(started).Seconds())
		}
	}
}

func isTerminal(stream io.Writer) bool {
	file, ok := stream.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
