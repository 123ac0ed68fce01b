package ejection

import "math/bits"

// window holds the latest results of one target, the newest in bit 0; a set
// bit is a failure.
type window struct {
	failures uint32
	size     int
}

// add pushes a result and returns by how much the totals changed.
func (w *window) add(failed bool) (samples, failures int) {
	before := bits.OnesCount32(w.failures)
	w.failures <<= 1
	if failed {
		w.failures |= 1
	}
	if w.size < windowResults {
		w.size++
		samples = 1
	}
	return samples, bits.OnesCount32(w.failures) - before
}

func (w *window) failed() int {
	return bits.OnesCount32(w.failures)
}
