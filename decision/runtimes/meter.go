package runtimes

import (
	"math"
	"slices"
	"time"

	"github.com/figring/figring/session"
)

const (
	// minionDecayTime is the time in which the evidence for one minion loses two thirds
	// of its weight: a change of its speed shows within two seconds.
	minionDecayTime = 1200 * time.Millisecond
	// minRatio and maxRatio bound the ratio of a single run.
	minRatio = 0.1
	maxRatio = 4
	// minReportedWeight is the weight below which a route is not reported.
	minReportedWeight = 0.05
	// maxReportedRoutes bounds a report to the routes with the most weight.
	maxReportedRoutes = 8
	// maxRoutes bounds the routes that a meter keeps.
	maxRoutes = 64
	// ratioUnit and weightUnit are the units of session.RunTime.
	ratioUnit  = 0.001
	weightUnit = 0.01
)

// Meter measures the run times on one minion. It is not safe for concurrent use.
type Meter struct {
	routes map[string]*average
}

// NewMeter returns a meter without measurements.
func NewMeter() *Meter { return &Meter{routes: make(map[string]*average)} }

// Reset drops all measurements, for a new minion incarnation.
func (m *Meter) Reset() { clear(m.routes) }

// Record records a run that is done.
func (m *Meter) Record(now time.Time, route string, took, declared time.Duration) {
	if route == "" || took <= 0 || declared <= 0 {
		return
	}
	measured, ok := m.routes[route]
	if !ok {
		m.dropOld(now)
		if len(m.routes) >= maxRoutes {
			return
		}
		measured = &average{updatedAt: now}
		m.routes[route] = measured
	}
	measured.add(now, min(max(float64(took)/float64(declared), minRatio), maxRatio))
}

// dropOld drops the routes without weight.
func (m *Meter) dropOld(now time.Time) {
	for route, measured := range m.routes {
		if measured.weightAt(now) < minReportedWeight {
			delete(m.routes, route)
		}
	}
}

// Report returns the ratios with weight, the heaviest first. It is never nil.
func (m *Meter) Report(now time.Time) []session.RunTime {
	report := make([]session.RunTime, 0, min(len(m.routes), maxReportedRoutes))
	for route, measured := range m.routes {
		weight := measured.weightAt(now)
		if weight < minReportedWeight {
			continue
		}
		report = append(report, session.RunTime{
			Route:  route,
			Ratio:  int(math.Exp(measured.log) / ratioUnit),
			Weight: int(weight / weightUnit),
		})
	}
	slices.SortFunc(report, func(a, b session.RunTime) int { return b.Weight - a.Weight })
	return report[:min(len(report), maxReportedRoutes)]
}
