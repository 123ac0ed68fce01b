package explain

import (
	"cmp"
	"slices"

	"github.com/figring/figring/common/eventlog"
)

// Count is the number of events of one kind and reason.
type Count struct {
	Kind   eventlog.Kind `json:"kind"`
	Reason string        `json:"reason"`
	Count  int           `json:"count"`
}

// Summarize counts lines by kind and by reason, or by outcome when a line has no
// reason. The most frequent come first. A summary of lines dropped by the rate limit
// counts as the number of dropped lines.
func Summarize(lines []Line) []Count {
	type key struct {
		kind   eventlog.Kind
		reason string
	}
	counts := make(map[key]int)
	for _, line := range lines {
		reason := stringField(line.Fields, eventlog.FieldReason)
		if reason == "" {
			reason = stringField(line.Fields, eventlog.FieldOutcome)
		}
		weight := 1
		if dropped, ok := line.Fields[eventlog.FieldCount].(float64); ok && line.Kind == eventlog.KindLinesDropped {
			weight = int(dropped)
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
