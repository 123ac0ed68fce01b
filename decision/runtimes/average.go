package runtimes

import (
	"math"
	"time"
)

// average is the decaying mean of the logarithms of ratios. The mean of logarithms lets
// the few tasks that take far longer than declared weigh little.
type average struct {
	// log is the mean, weight the weight behind it at updatedAt.
	log, weight float64
	updatedAt   time.Time
}

// add adds a ratio with the weight 1.
func (a *average) add(now time.Time, ratio float64) {
	a.weight = a.weightAt(now) + 1
	a.updatedAt = now
	a.log += (math.Log(ratio) - a.log) / a.weight
}

// weightAt returns the weight that is left.
func (a *average) weightAt(now time.Time) float64 {
	return a.weight * decay(now.Sub(a.updatedAt), minionDecayTime)
}

// decay returns the part of a weight that is left after the time.
func decay(age, decayTime time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(decayTime))
}
