package runtimes

import (
	"math"
	"slices"
	"time"
)

const (
	// kindTime is the time in which two thirds of a change of a kind's run times show.
	kindTime = 5 * time.Second
	// kindRetention is the time without evidence after which a kind's ratio is dropped.
	kindRetention = 30 * time.Second
)

// kindRoute is the mean ratio of a route's tasks on the minions of one kind.
type kindRoute struct {
	route string
	// log is the mean of the logarithms, weight the weight behind it at measuredAt.
	log, weight float64
	measuredAt  time.Time
	// sum and sumWeight collect the present reports.
	sum, sumWeight float64
}

// estimate returns the logarithm of the ratio, nearer to 0 with little weight.
func (k *kindRoute) estimate() float64 { return k.log * k.weight / (k.weight + priorRuns) }

// Fleet is what an entry knows of the run times on all minions. It is not safe for
// concurrent use.
type Fleet struct {
	kinds     map[string][]*kindRoute
	updatedAt time.Time
}

// NewFleet returns a fleet of which nothing is known.
func NewFleet() *Fleet { return &Fleet{kinds: make(map[string][]*kindRoute)} }

// Update combines the reports and computes the estimates of each minion.
func (f *Fleet) Update(now time.Time, minions []*Minion) {
	for _, minion := range minions {
		f.collect(now, minion)
	}
	share := 1 - decay(now.Sub(f.updatedAt), kindTime)
	f.updatedAt = now
	for kind, routes := range f.kinds {
		for _, of := range routes {
			of.absorb(now, share)
		}
		routes = slices.DeleteFunc(routes, func(of *kindRoute) bool { return now.Sub(of.measuredAt) > kindRetention })
		if len(routes) == 0 {
			delete(f.kinds, kind)
			continue
		}
		f.kinds[kind] = routes
	}
	for _, minion := range minions {
		minion.estimateFrom(now, f.kinds[minion.kind])
	}
}

// collect adds the reported ratios of a minion to those of its kind.
func (f *Fleet) collect(now time.Time, minion *Minion) {
	for i := range minion.reported {
		reported := &minion.reported[i]
		weight := minion.weight(now, reported)
		if weight < minReportedWeight {
			continue
		}
		of := f.kindRoute(minion.kind, reported.Route)
		of.sum += weight * logRatio(reported)
		of.sumWeight += weight
	}
}

func (f *Fleet) kindRoute(kind, route string) *kindRoute {
	for _, of := range f.kinds[kind] {
		if of.route == route {
			return of
		}
	}
	added := &kindRoute{route: route}
	f.kinds[kind] = append(f.kinds[kind], added)
	return added
}

// absorb moves the ratio by the share towards the mean of the collected reports.
func (k *kindRoute) absorb(now time.Time, share float64) {
	if k.sumWeight == 0 {
		k.weight *= 1 - share
		return
	}
	if k.measuredAt.IsZero() {
		share = 1
	}
	k.log += share * (k.sum/k.sumWeight - k.log)
	k.weight = max(k.weight*(1-share), k.sumWeight)
	k.measuredAt = now
	k.sum, k.sumWeight = 0, 0
}

// KindRatio is the ratio of a route's tasks on the minions of one kind.
type KindRatio struct {
	Kind, Route string
	Ratio       float64
	// Weight is the number of runs behind the ratio.
	Weight float64
}

// Kinds returns the ratios of all kinds.
func (f *Fleet) Kinds() []KindRatio {
	var ratios []KindRatio
	for kind, routes := range f.kinds {
		for _, of := range routes {
			ratios = append(ratios, KindRatio{kind, of.route, math.Exp(of.log), of.weight})
		}
	}
	return ratios
}
