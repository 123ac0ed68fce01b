package interference

import (
	"math"
	"slices"
	"time"

	"github.com/figring/figring/session"
)

// Report returns the evidence for entries.
func (m *Meter) Report(now time.Time) *session.Interference {
	report := &session.Interference{Kinds: make([]string, 0, MaxKinds)}
	used := 0
	for i := range m.slots {
		report.Kinds = append(report.Kinds, m.slots[i].name)
		if m.slots[i].name != "" {
			used = i + 1
		}
	}
	report.Kinds = report.Kinds[:used]
	for slowed := range used {
		for other := range used {
			if pair, ok := m.pair(now, slowed, other); ok {
				report.Pairs = append(report.Pairs, pair)
			}
		}
	}
	slices.SortFunc(report.Pairs, func(a, b session.PairEvidence) int { return b.Weight - a.Weight })
	report.Pairs = report.Pairs[:min(len(report.Pairs), maxReportedPairs)]
	return report
}

// pair returns the evidence on a pair, and whether it has enough weight.
func (m *Meter) pair(now time.Time, slowed, other int) (session.PairEvidence, bool) {
	measured := &m.evidence[slowed][other]
	weight := measured.weight(now)
	if weight < minReportedWeight {
		return session.PairEvidence{}, false
	}
	return session.PairEvidence{
		Slowed: slowed, Other: other,
		Weight:     int(math.Round(weight / weightUnit)),
		Difference: int(math.Round(measured.difference() / logUnit)),
		Variance:   int(math.Round(measured.variance() / logUnit)),
	}, true
}
