package classload

import (
	"maps"
	"slices"
	"time"
)

// Stats are the load and the counts of one class, for metrics.
type Stats struct {
	Class Class
	// Demand is the rate that all entries offer to the capacity within reach and Given
	// the part of it that the class gets, in thousandths of a core. Own is the rate that
	// callers offer to this entry.
	Demand, Given, Own float64
	Counts             Counts
}

// Stats returns the stats of all classes, by service and urgency.
func (t *Tracker) Stats(now time.Time) []Stats {
	stats := make([]Stats, 0, len(t.classes))
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		for _, state := range t.services[name].classes {
			stats = append(stats, state.stats(now))
		}
	}
	return stats
}

func (c *classState) stats(now time.Time) Stats {
	return Stats{c.class, c.demand, c.given, c.ownRate(now), c.counts}
}
