package explain

import (
	"cmp"
	"slices"

	"github.com/figring/figring/common/eventlog"
)

// Count is how often a kind of line with a reason was written.
type Count struct {
	Kind   eventlog.Kind `json:"kind"`
	Reason string        `json:"reason"`
	Count  int           `json:"count"`
}

// Summarize counts lines by kind and by reason or outcome, the most frequent
// first. Lines that were left out above their rate are counted as such.
func Summarize(lines []Line) []Count {
	type key struct {
		kind   eventlog.Kind
		reason string
	}
	counts := make(map[key]int)
	for _, line := range lines {
		reason := text(line.Fields, eventlog.FieldReason)
		if reason == "" {
			reason = text(line.Fields, eventlog.FieldOutcome)
		}
		weight := 1
		if left, ok := line.Fields[eventlog.FieldCount].(float64); ok && line.Kind == eventlog.KindLinesDropped {
			weight = int(left)
		}
		counts[key{line.Kind, reason}] += weight
	}
	sorted := make([]Count, 0, len(counts))
	for key, count := range counts {
		sorted = append(sorted, Count{key.kind, key.reason, count})
	}
	slices.SortFunc(sorted, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason))
	})
	return sorted
}
