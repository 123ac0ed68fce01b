package runtimes

import (
	"math"
	"slices"
	"time"

	"github.com/figring/figring/session"
)

// priorRuns is the number of runs whose weight the estimate of the next wider scope has:
// with so many runs of its own an estimate counts half.
const priorRuns = 4

// maxReceivedWeight bounds the weight of a received ratio, in units of session.RunTime. It
// is that of 8000 ends a second.
const maxReceivedWeight = 1_000_000

// Minion is what an entry knows of the run times on one minion. The zero value knows
// nothing.
type Minion struct {
	service    string
	labels     []string
	kind       string
	reported   []session.RunTime
	reportedAt time.Time
	// estimates are the ratios by route, as Fleet.Update has computed them last.
	estimates []estimate
}

type estimate struct {
	route string
	ratio float64
}

// Report records what a sidecar has reported of its minion. Without run times the former
// report remains.
func (m *Minion) Report(at time.Time, minion *session.Minion, runTimes []session.RunTime) {
	if m.kind == "" || m.service != minion.Service || !slices.Equal(m.labels, minion.Labels) {
		m.service = minion.Service
		m.labels = minion.Labels
		m.kind = kindOf(minion)
	}
	if runTimes != nil {
		m.reported = boundedRunTimes(runTimes)
		m.reportedAt = at
	}
}

// boundedRunTimes returns a copy with the weights within their bounds: a negative one could
// make a sum of weights 0.
func boundedRunTimes(received []session.RunTime) []session.RunTime {
	bounded := slices.Clone(received)
	for i := range bounded {
		bounded[i].Weight = min(max(bounded[i].Weight, 0), maxReceivedWeight)
	}
	return bounded
}

// Ratio returns the expected run time of the route's tasks as a multiple of the declared
// one, and whether anything is known of it.
func (m *Minion) Ratio(route string) (float64, bool) {
	for i := range m.estimates {
		if m.estimates[i].route == route {
			return m.estimates[i].ratio, true
		}
	}
	return 1, false
}

// Known reports whether the minion's sidecar reports run times.
func (m *Minion) Known() bool { return m.reported != nil }

// weight returns the weight of a reported ratio now, in runs.
func (m *Minion) weight(now time.Time, reported *session.RunTime) float64 {
	return float64(reported.Weight) * weightUnit * decay(now.Sub(m.reportedAt), minionDecayTime)
}

// estimateFrom computes the estimates from the routes of the minion's kind. The minion's
// own runs count by how far they deviate from the kind's.
func (m *Minion) estimateFrom(now time.Time, routes []*kindRoute) {
	total, deviation := 0.0, 0.0
	for i := range m.reported {
		weight := m.weight(now, &m.reported[i])
		total += weight
		deviation += weight * (logRatio(&m.reported[i]) - kindLog(routes, m.reported[i].Route))
	}
	overall := deviation / (total + priorRuns)
	m.estimates = m.estimates[:0]
	for _, of := range routes {
		own, weight := 0.0, 0.0
		for i := range m.reported {
			if m.reported[i].Route == of.route {
				weight = m.weight(now, &m.reported[i])
				own = logRatio(&m.reported[i]) - of.estimate()
			}
		}
		deviates := (weight*own + priorRuns*overall) / (weight + priorRuns)
		m.estimates = append(m.estimates, estimate{of.route, math.Exp(of.estimate() + deviates)})
	}
}

// logRatio returns the logarithm of a reported ratio.
func logRatio(reported *session.RunTime) float64 {
	return math.Log(min(max(float64(reported.Ratio)*ratioUnit, minRatio), maxRatio))
}

// kindLog returns the logarithm of the kind's ratio for the route; 0 if there is none.
func kindLog(routes []*kindRoute, route string) float64 {
	for _, of := range routes {
		if of.route == route {
			return of.estimate()
		}
	}
	return 0
}
