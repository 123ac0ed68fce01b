package classload

// claim is what a class asks of the usable capacity. demand is the rate that is offered,
// usual its mean over the last usualTime. Both are in thousandths of a core.
type claim struct{ demand, usual float64 }

// divide divides the usable capacity among classes in the order of their urgency and
// returns what each one gets. The most urgent class gets its demand. The others share
// the remainder in proportion to their usual demand, so that a class pays for its own
// burst, and a loss of capacity is borne by all of them. A floor for each of the others
// is kept from the most urgent class.
func divide(usable float64, claims []claim) []float64 {
	given := make([]float64, len(claims))
	if len(claims) == 0 {
		return given
	}
	floors := 0.0
	for _, other := range claims[1:] {
		floors += min(other.demand, floorShare*usable)
	}
	given[0] = min(claims[0].demand, max(usable-floors, 0))
	shareRemainder(max(usable-given[0], 0), floorShare*usable, claims[1:], given[1:])
	return given
}

// shareRemainder shares the capacity in proportion to the usual demands. What a class
// does not need goes to the others. A class that has no usual demand yet has the floor
// as its weight.
func shareRemainder(capacity, floor float64, claims []claim, given []float64) {
	for range claims {
		left, weights := capacity, 0.0
		for i, claim := range claims {
			left -= given[i]
			if given[i] < claim.demand {
				weights += max(claim.usual, floor)
			}
		}
		if left <= 0 || weights <= 0 {
			return
		}
		for i, claim := range claims {
			if given[i] < claim.demand {
				given[i] = min(claim.demand, given[i]+left*max(claim.usual, floor)/weights)
			}
		}
	}
}
