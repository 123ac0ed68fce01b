package minion

import "time"

// Control holds what can be changed while the minion runs.
type Control struct {
	// Speed divides the run time of every task.
	Speed float64 `json:"speed" validate:"gt=0,lte=1000"`
	// FailEverything makes every task fail at once.
	FailEverything bool `json:"failEverything"`
	// DelayMillis is a one-way delay added before a request is looked at and
	// again before its answer is sent.
	DelayMillis float64 `json:"delayMillis" validate:"min=0,max=600000"`
}

func (c Control) delay() time.Duration {
	return time.Duration(c.DelayMillis * float64(time.Millisecond))
}
