package interference

import (
	"math"
	"time"
)

// evidence relates the run times of a kind to the share of each run during which another
// kind was present: by the least squares line of the logarithm of measured over declared
// run time. The means with and without the other kind, weighted by the shares, would show
// less than half of a slowdown, since most runs overlap in part. All sums decay.
type evidence struct {
	runs                  float64
	shares, ratios        float64
	shareSquares, product float64
	ratioSquares          float64
	at                    time.Time
}

// add adds a run during the share of which the other kind was present. Ratio is a
// logarithm.
func (e *evidence) add(now time.Time, share, ratio float64) {
	left := kept(now.Sub(e.at))
	e.at = now
	e.runs = e.runs*left + 1
	e.shares = e.shares*left + share
	e.ratios = e.ratios*left + ratio
	e.shareSquares = e.shareSquares*left + share*share
	e.product = e.product*left + share*ratio
	e.ratioSquares = e.ratioSquares*left + ratio*ratio
}

// kept returns the part of a weight that is left after the time.
func kept(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

// spread returns the sum of the squared deviations of the shares from their mean.
func (e *evidence) spread() float64 {
	if e.runs <= 0 {
		return 0
	}
	return max(e.shareSquares-e.shares*e.shares/e.runs, 0)
}

// weight returns the weight of the comparison, in runs. For as many runs with the other
// kind as without it, it is a quarter of their number.
func (e *evidence) weight(now time.Time) float64 { return kept(now.Sub(e.at)) * e.spread() }

// difference returns by how much the logarithm is larger with the other kind all the time
// than without it.
func (e *evidence) difference() float64 {
	return (e.product - e.shares*e.ratios/e.runs) / e.spread()
}

// variance returns the variance of the logarithms about the line.
func (e *evidence) variance() float64 {
	all := e.ratioSquares - e.ratios*e.ratios/e.runs
	slope := e.difference()
	return max(all-slope*slope*e.spread(), 0) / e.runs
}
