package dispatcher

import "time"

// maxCallGap is the longest time between two failed calls over which a sidecar counts as
// unreachable all the while.
const maxCallGap = time.Second

// unansweredCalls has the sidecars that did not answer the latest calls of a takeover, by
// name.
type unansweredCalls map[string]unanswered

// unanswered is the span of the calls in a row that a sidecar did not answer.
type unanswered struct{ from, to time.Time }

// record returns the state after a round of calls to all sidecars that began and ended at
// these times. All but the named sidecars answered or are not known any more.
func (u unansweredCalls) record(began, ended time.Time, names []string) unansweredCalls {
	next := make(unansweredCalls, len(names))
	for _, name := range names {
		span := unanswered{from: began, to: ended}
		if earlier, ok := u[name]; ok && began.Sub(earlier.to) <= maxCallGap {
			span.from = earlier.from
		}
		next[name] = span
	}
	return next
}

// since returns the time since which all of the sidecars have been unreachable; the zero
// time if all answered.
func (u unansweredCalls) since() time.Time {
	newest := time.Time{}
	for _, span := range u {
		if span.from.After(newest) {
			newest = span.from
		}
	}
	return newest
}
