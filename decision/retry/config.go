package retry

import "time"

const (
	// DefaultRatio is the default number of retries allowed per request.
	DefaultRatio = 0.1
	// DefaultFloorPerSecond is the default number of retries allowed per second
	// regardless of the number of requests.
	DefaultFloorPerSecond = 2.0
	// DefaultWindow is the default length of the window.
	DefaultWindow = 10 * time.Second
	// bucketCount is the number of buckets into which the window is divided.
	bucketCount = 10
)

// Config configures a Budget. A field that is zero takes its default.
type Config struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// FloorPerSecond is the number of retries allowed per second regardless of the
	// number of requests.
	FloorPerSecond float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
}

// withDefaults returns the config with its zero fields replaced by the defaults.
func (c Config) withDefaults() Config {
	if c.Ratio == 0 {
		c.Ratio = DefaultRatio
	}
	if c.FloorPerSecond == 0 {
		c.FloorPerSecond = DefaultFloorPerSecond
	}
	if c.Window == 0 {
		c.Window = DefaultWindow
	}
	return c
}
