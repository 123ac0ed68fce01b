package interference

import (
	"math"
	"slices"
	"time"

	"github.com/figring/figring/session"
)

const (
	// A pair counts as interfering from foundSlowdown on, and until the slowdown is below
	// droppedSlowdown.
	foundSlowdown   = 0.15
	droppedSlowdown = 0.08
	// chanceErrors is the number of standard errors that a slowdown must exceed. It is more
	// than for independent runs, because tasks of one job have the same error in their
	// declared run times: with 3.5, pairs were found by chance.
	chanceErrors = 5
	// oldWeight is the weight of evidence, in runs, below which it is old.
	oldWeight = 60
	// leastWeight is the weight below which a pair no longer counts, foundWeight the one
	// from which on it may begin to: a few runs may be those of a single job.
	leastWeight = 4
	foundWeight = 40
	// minVariance is assumed at least of the logarithms of ratios.
	minVariance = 0.01
)

// NoKind is the index of a kind that is not known.
const NoKind = -1

// Report is the newest evidence of one sidecar.
type Report struct {
	evidence *session.Interference
	at       time.Time
	// kinds are the entry's indexes of the sidecar's kinds, from the fleet's generation.
	kinds      []int
	generation int
}

// Kind returns the entry's index of a sidecar's kind.
func (r *Report) Kind(index int) int {
	if index < 0 || index >= len(r.kinds) {
		return NoKind
	}
	return r.kinds[index]
}

// Change is a pair that begins or ceases to count as interfering.
type Change struct {
	Slowed, Other string
	Found         bool
	Slowdown      float64
	// Weight is the weight of the evidence in runs.
	Weight float64
}

// pairState is what is known of a pair.
type pairState struct {
	weight, sum, variance float64
	found                 bool
}

// Fleet adds up the evidence of all sidecars. The zero value knows nothing. It is not safe
// for concurrent use.
type Fleet struct {
	kinds [MaxKinds]string
	used  int
	// generation grows when the indexes of kinds change.
	generation int
	pairs      [MaxKinds][MaxKinds]pairState
	costs      Costs
}

// Costs says which pairs count as interfering.
type Costs struct {
	// Any is whether any pair counts, AnyOld whether the evidence on one of them is old.
	Any, AnyOld bool
	// slowdown is the share by which the first kind is slowed down by the second; 0 for
	// pairs that don't count.
	slowdown [MaxKinds][MaxKinds]float32
	old      [MaxKinds][MaxKinds]bool
}

// Slowdown returns the share by which the run times of a kind grow beside another. With
// ignoreOld, pairs on which the evidence is old don't count.
func (c *Costs) Slowdown(slowed, other int, ignoreOld bool) float64 {
	if slowed < 0 || other < 0 || (ignoreOld && c.old[slowed][other]) {
		return 0
	}
	return float64(c.slowdown[slowed][other])
}

// Costs returns which pairs count as interfering.
func (f *Fleet) Costs() *Costs { return &f.costs }

// Kind returns the index of a kind, NoKind if no sidecar has reported it.
func (f *Fleet) Kind(name string) int {
	name = name[max(len(name)-MaxKindLength, 0):]
	for i := range f.used {
		if f.kinds[i] == name {
			return i
		}
	}
	return NoKind
}

// addKind returns the index of a kind and adds it while there are fewer than MaxKinds.
func (f *Fleet) addKind(name string) int {
	if known := f.Kind(name); known != NoKind || name == "" || f.used == MaxKinds {
		return known
	}
	f.kinds[f.used] = name
	f.used++
	return f.used - 1
}

// Receive records the evidence that a sidecar has reported.
func (f *Fleet) Receive(now time.Time, report *Report, evidence *session.Interference) {
	report.evidence, report.at = boundedEvidence(evidence), now
	f.index(report)
}

// index sets the entry's indexes of the sidecar's kinds.
func (f *Fleet) index(report *Report) {
	report.generation = f.generation
	report.kinds = report.kinds[:0]
	for _, name := range report.evidence.Kinds {
		report.kinds = append(report.kinds, f.addKind(name))
	}
}

// dropUnreported gives the indexes to the kinds of the reports if all are in use and some
// kind is in no report any more. It returns the found pairs that end with their kinds.
func (f *Fleet) dropUnreported(reports []*Report) []Change {
	if f.used < MaxKinds {
		return nil
	}
	var reported [MaxKinds]bool
	for _, report := range reports {
		for _, kind := range report.kinds {
			if kind != NoKind && report.generation == f.generation {
				reported[kind] = true
			}
		}
	}
	if !slices.Contains(reported[:], false) {
		return nil
	}
	former := *f
	*f = Fleet{generation: former.generation + 1}
	for _, report := range reports {
		if report.evidence != nil {
			f.index(report)
		}
	}
	return f.keepFound(&former)
}

// keepFound marks the former fleet's found pairs as found. It returns those with a kind that
// is gone.
func (f *Fleet) keepFound(former *Fleet) []Change {
	var dropped []Change
	for i := range former.used {
		for j := range former.used {
			pair := &former.pairs[i][j]
			if !pair.found {
				continue
			}
			slowed, other := f.Kind(former.kinds[i]), f.Kind(former.kinds[j])
			if slowed == NoKind || other == NoKind {
				dropped = append(dropped, Change{former.kinds[i], former.kinds[j], false, pair.slowdown(), pair.weight})
				continue
			}
			f.pairs[slowed][other].found = true
		}
	}
	return dropped
}

// Update adds up the reports and returns the pairs that begin or cease to count.
func (f *Fleet) Update(now time.Time, reports []*Report) []Change {
	changes := f.dropUnreported(reports)
	for slowed := range f.used {
		for other := range f.used {
			f.pairs[slowed][other] = pairState{found: f.pairs[slowed][other].found}
		}
	}
	for _, report := range reports {
		f.addReport(now, report)
	}
	f.costs.Any, f.costs.AnyOld = false, false
	for slowed := range f.used {
		for other := range f.used {
			if f.judge(slowed, other) {
				pair := &f.pairs[slowed][other]
				changes = append(changes, Change{f.kinds[slowed], f.kinds[other], pair.found, pair.slowdown(), pair.weight})
			}
		}
	}
	return changes
}

// addReport adds the evidence of one sidecar, the less the older it is.
func (f *Fleet) addReport(now time.Time, report *Report) {
	if report.evidence == nil {
		return
	}
	if report.generation != f.generation {
		// The indexes have changed while the sidecar was disconnected.
		f.index(report)
	}
	left := kept(now.Sub(report.at))
	for _, measured := range report.evidence.Pairs {
		slowed, other := report.Kind(measured.Slowed), report.Kind(measured.Other)
		if slowed == NoKind || other == NoKind || measured.Weight <= 0 {
			continue
		}
		weight := left * weightUnit * float64(measured.Weight)
		pair := &f.pairs[slowed][other]
		pair.weight += weight
		pair.sum += weight * logUnit * float64(measured.Difference)
		pair.variance += weight * logUnit * float64(measured.Variance)
	}
}

// judge decides whether a pair counts and reports whether that has changed.
func (f *Fleet) judge(slowed, other int) bool {
	pair := &f.pairs[slowed][other]
	before := pair.found
	switch {
	case pair.weight < leastWeight || pair.slowdown() < droppedSlowdown:
		pair.found = false
	case pair.weight >= foundWeight && pair.slowdown() > foundSlowdown && pair.sum/pair.weight > chanceErrors*pair.standardError():
		pair.found = true
	}
	f.costs.slowdown[slowed][other] = 0
	f.costs.old[slowed][other] = pair.weight < oldWeight
	if pair.found {
		f.costs.slowdown[slowed][other] = float32(pair.slowdown())
		f.costs.Any = true
		f.costs.AnyOld = f.costs.AnyOld || pair.weight < oldWeight
	}
	return pair.found != before
}

// slowdown returns the share by which run times are longer.
func (p *pairState) slowdown() float64 {
	if p.weight <= 0 {
		return 0
	}
	return math.Exp(p.sum/p.weight) - 1
}

// standardError returns the standard error of the mean difference.
func (p *pairState) standardError() float64 {
	return math.Sqrt(max(p.variance/p.weight, minVariance) / p.weight)
}
