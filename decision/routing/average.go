package routing

// average is an exponentially weighted moving average. Its first samples are
// weighted as in an arithmetic mean, so that it has no initial bias to zero.
type average struct {
	value   float64
	samples int
}

// add adds a sample, which is weighted as one of the last window samples.
func (a *average) add(sample float64, window int) {
	if a.samples < window {
		a.samples++
	}
	a.value += (sample - a.value) / float64(a.samples)
}

// valueOr returns the average, or prior if there is no sample.
func (a *average) valueOr(prior float64) float64 {
	if a.samples == 0 {
		return prior
	}
	return a.value
}

// decayed returns the average moved towards prior, of which it keeps the share
// keep. The number of samples shrinks by the same share, so that later samples
// weigh more.
func (a average) decayed(keep, prior float64) average {
	if keep >= 1 {
		return a
	}
	a.value = prior + keep*(a.value-prior)
	a.samples = int(keep * float64(a.samples))
	return a
}
