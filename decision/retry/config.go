package retry

import "time"

const (
	// DefaultRatio is the number of retries allowed per request.
	DefaultRatio = 0.1
	// DefaultFloorPerSecond is the number of retries allowed per second
	// whatever the number of requests.
	DefaultFloorPerSecond = 2.0
	// DefaultWindow is the time that the ratio is taken over.
	DefaultWindow = 10 * time.Second
	// bucketCount is the number of parts into which the window is divided.
	bucketCount = 10
)

// Config sets up a Budget. A value of zero means the default.
type Config struct {
	Ratio          float64
	FloorPerSecond float64
	Window         time.Duration
}

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
