package ejection

import "math/bits"

// window holds the latest results of one target.
type window struct {
	// failures has one bit for each result, the newest in bit 0. A set bit is a
	// failure.
	failures uint32
	// size is the number of results held, at most windowSize.
	size int
}

// add pushes a result and returns the changes in the number of results and of
// failures that the window holds.
func (w *window) add(failed bool) (results, failures int) {
	before := bits.OnesCount32(w.failures)
	w.failures <<= 1
	if failed {
		w.failures |= 1
	}
	if w.size < windowSize {
		w.size++
		results = 1
	}
	return results, bits.OnesCount32(w.failures) - before
}

// failed returns the number of failures in the window.
func (w *window) failed() int {
	return bits.OnesCount32(w.failures)
}
