package fault

import "time"

// The latencies of the platform without injected faults.
const (
	DefaultReadMillis  Millis = 1
	DefaultWriteMillis Millis = 5
)

// MaxMillis is the maximum of every latency setting: ten minutes.
const MaxMillis Millis = 10 * 60 * 1000

// Millis is a duration in milliseconds.
type Millis float64

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Settings determines which faults are injected.
type Settings struct {
	// Outage makes every request fail with ErrUnavailable before it takes effect.
	Outage bool `json:"outage"`
	// Hang makes every request wait without a reply and without taking effect.
	Hang bool `json:"hang"`
	// ReadMillis and WriteMillis are the base latencies of reads and writes. Half
	// of the latency elapses before the request takes effect and half after.
	ReadMillis  Millis `json:"readMillis" validate:"min=0,max=600000"`
	WriteMillis Millis `json:"writeMillis" validate:"min=0,max=600000"`
	// BeforeMillis and AfterMillis are additional latencies of every request,
	// before and after it takes effect.
	BeforeMillis Millis `json:"beforeMillis" validate:"min=0,max=600000"`
	AfterMillis  Millis `json:"afterMillis" validate:"min=0,max=600000"`
	// ReplyLoss is the probability that the reply to a write is lost after
	// the write has taken effect.
	ReplyLoss float64 `json:"replyLoss" validate:"min=0,max=1"`
	// WriteLoss is the probability that a write is lost before it takes
	// effect. The client cannot distinguish this from a lost reply.
	WriteLoss float64 `json:"writeLoss" validate:"min=0,max=1"`
}

// Defaults returns settings with the default latencies and no faults.
func Defaults() Settings {
	return Settings{ReadMillis: DefaultReadMillis, WriteMillis: DefaultWriteMillis}
}
