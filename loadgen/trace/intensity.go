package trace

// intensitySteps is the number of steps into which the arrival rate is
// discretized.
const intensitySteps = 1000

// intensity is the arrival rate over the run as a step function with steps of
// equal width. sums holds its normalized cumulative sum, which ends at 1.
type intensity struct {
	sums []float64
}

// intensity returns the arrival rate with the configured bursts at random
// positions.
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

// invert is the inverse of the cumulative arrival rate: it returns the fraction
// of the run after which the given fraction of the arrivals is expected.
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
