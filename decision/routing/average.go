package routing

// average is an exponentially weighted moving average whose first samples
// weigh as in a plain mean, so that it starts without a bias to zero.
type average struct {
	value   float64
	samples int
}

// add takes in a sample; memory is the number of samples that it looks back on.
func (a *average) add(sample float64, memory int) {
	if a.samples < memory {
		a.samples++
	}
	a.value += (sample - a.value) / float64(a.samples)
}

// or returns the average, or prior while there is no sample.
func (a *average) or(prior float64) float64 {
	if a.samples == 0 {
		return prior
	}
	return a.value
}

// faded returns the average after only the share keep of what it knew is kept;
// the rest is the prior again. Samples that follow weigh the more.
func (a average) faded(keep, prior float64) average {
	if keep >= 1 {
		return a
	}
	a.value = prior + keep*(a.value-prior)
	a.samples = int(keep * float64(a.samples))
	return a
}
