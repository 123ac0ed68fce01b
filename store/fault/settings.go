package fault

import "time"

// The latencies of an undisturbed platform, in milliseconds.
const (
	DefaultReadMillis  Millis = 1
	DefaultWriteMillis Millis = 5
)

// MaxMillis bounds every latency that can be set: ten minutes.
const MaxMillis Millis = 10 * 60 * 1000

// Millis is a time in milliseconds.
type Millis float64

// Duration returns the time as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Settings says which faults are injected.
type Settings struct {
	// Outage answers every request with ErrUnavailable, before any effect.
	Outage bool `json:"outage"`
	// Hang leaves every request without an answer and without an effect.
	Hang bool `json:"hang"`
	// ReadMillis and WriteMillis are the base latencies. Half of it passes
	// before the effect and half after.
	ReadMillis  Millis `json:"readMillis" validate:"min=0,max=600000"`
	WriteMillis Millis `json:"writeMillis" validate:"min=0,max=600000"`
	// BeforeMillis and AfterMillis are extra latencies of every request,
	// before and after the effect.
	BeforeMillis Millis `json:"beforeMillis" validate:"min=0,max=600000"`
	AfterMillis  Millis `json:"afterMillis" validate:"min=0,max=600000"`
	// ReplyLoss is the probability that the reply to a write is lost after
	// the write took effect.
	ReplyLoss float64 `json:"replyLoss" validate:"min=0,max=1"`
	// WriteLoss is the probability that a write is lost before it takes
	// effect, and that the client can't tell.
	WriteLoss float64 `json:"writeLoss" validate:"min=0,max=1"`
}

// Defaults returns the settings of an undisturbed platform.
func Defaults() Settings {
	return Settings{ReadMillis: DefaultReadMillis, WriteMillis: DefaultWriteMillis}
}
