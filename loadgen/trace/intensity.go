package trace

// intensitySteps is the number of steps that the rate of arrivals is kept in.
const intensitySteps = 1000

// intensity is the rate of arrivals over the run as steps of equal width; it
// holds their running sum, which ends at 1.
type intensity struct {
	sums []float64
}

// intensity returns the rate with the bursts of the configuration.
func (g *generator) intensity() intensity {
	rates := make([]float64, intensitySteps)
	for i := range rates {
		rates[i] = 1
	}
	width := int(g.config.BurstShare * intensitySteps)
	for range g.config.Bursts {
		first := g.random.IntN(intensitySteps - width)
		for i := first; i < first+width; i++ {
			rates[i] = g.config.BurstFactor
		}
	}
	sums := make([]float64, intensitySteps)
	var sum float64
	for i, rate := range rates {
		sum += rate
		sums[i] = sum
	}
	for i := range sums {
		sums[i] /= sum
	}
	return intensity{sums: sums}
}

// invert returns the share of the run's time at which the given share of the
// arrivals is reached.
func (n intensity) invert(share float64) float64 {
	low, high := 0, len(n.sums)-1
	for low < high {
		middle := (low + high) / 2
		if n.sums[middle] > share {
			high = middle
		} else {
			low = middle + 1
		}
	}
	before := 0.0
	if low > 0 {
		before = n.sums[low-1]
	}
	within := (share - before) / (n.sums[low] - before)
	return (float64(low) + within) / float64(len(n.sums))
}
