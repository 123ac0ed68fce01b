package classload

import (
	"math"
	"time"
)

// rate is an exponentially decaying mean of an amount per second.
type rate struct {
	perSecond float64
	at        time.Time
}

// add adds an amount at the time.
func (r *rate) add(now time.Time, amount float64, constant time.Duration) {
	r.perSecond = r.value(now, constant) + amount/constant.Seconds()
	r.at = now
}

// value returns the mean at the time.
func (r *rate) value(now time.Time, constant time.Duration) float64 {
	if r.perSecond == 0 || !now.After(r.at) {
		return r.perSecond
	}
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/constant.Seconds())
}
