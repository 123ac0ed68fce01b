package interference

import (
	"slices"

	"github.com/figring/figring/session"
)

// Bounds of received evidence, in units of session.PairEvidence.
const (
	// maxReceivedWeight is that of over 1000 ends a second.
	maxReceivedWeight = 1_000_000
	// maxReceivedDifference is the logarithm of maxRatio / minRatio.
	maxReceivedDifference = 3689
	// maxReceivedVariance is the square of that logarithm.
	maxReceivedVariance = 13608
)

// boundedEvidence returns a copy with the numbers of all pairs within their bounds: beyond
// them a slowdown could be infinite.
func boundedEvidence(received *session.Interference) *session.Interference {
	bounded := &session.Interference{Kinds: received.Kinds, Pairs: slices.Clone(received.Pairs)}
	for i := range bounded.Pairs {
		pair := &bounded.Pairs[i]
		pair.Weight = min(max(pair.Weight, 0), maxReceivedWeight)
		pair.Difference = min(max(pair.Difference, -maxReceivedDifference), maxReceivedDifference)
		pair.Variance = min(max(pair.Variance, 0), maxReceivedVariance)
	}
	return bounded
}
