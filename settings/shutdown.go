package settings

import "time"

// The allowed range of ShutdownTimeout.
const (
	minShutdownTimeout = Duration(1 * time.Second)
	maxShutdownTimeout = Duration(1 * time.Hour)
)

func checkShutdownTimeout(timeout Duration) error {
	if timeout < minShutdownTimeout || timeout > maxShutdownTimeout {
		return &Error{Field: "shutdownTimeout", Reason: "want 1s to 1h"}
	}
	return nil
}
