package minion

import "time"

// Control holds the settings that can be changed while the minion runs.
type Control struct {
	// Speed is the divisor of the run time of every task.
	Speed float64 `json:"speed" validate:"gt=0,lte=1000"`
	// FailEverything makes every task fail immediately after its start.
	FailEverything bool `json:"failEverything"`
	// DelayMillis is a simulated one-way network delay in milliseconds. It is
	// added after the request is parsed and again before the response is sent.
	DelayMillis float64 `json:"delayMillis" validate:"min=0,max=600000"`
}

func (c Control) delay() time.Duration {
	return time.Duration(c.DelayMillis * float64(time.Millisecond))
}
