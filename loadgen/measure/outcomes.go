package measure

import (
	"fmt"
	"maps"
	"slices"
)

// outcomes returns the number of jobs by final code, how late the load tool
// itself was, and a check of the second submissions.
func (p *played) outcomes() []Row {
	var rows []Row
	for _, code := range slices.Sorted(maps.Keys(p.result.Codes)) {
		rows = append(rows, info("jobs ended "+code, float64(p.result.Codes[code]), ""))
	}
	for _, code := range slices.Sorted(maps.Keys(p.result.Resubmits)) {
		rows = append(rows, info("second submissions ended "+code, float64(p.result.Resubmits[code]), ""))
	}
	rows = append(rows, p.series()...)
	rows = append(rows, atMost("second submissions with another answer", float64(p.result.Mismatches), 0, ""))
	rows = append(rows, atMost("tasks started more than once", float64(p.startedTwice()), 0, ""))
	return append(rows, info("load tool's own lateness, p99", p.lateness(), "ms"))
}

// series returns the response times by caller and class.
func (p *played) series() []Row {
	var rows []Row
	for _, name := range p.result.Series() {
		summary := p.result.Responses[name].Summary()
		label := fmt.Sprintf("%s, %s: response of %d jobs, ", name.Caller, name.Class, summary.Count)
		rows = append(rows, info(label+"p50", summary.P50Ms, "ms"), info(label+"p99", summary.P99Ms, "ms"))
	}
	return rows
}

// lateness returns the 99th percentile of the times by which jobs were sent
// late, in milliseconds. It is part of the response times.
func (p *played) lateness() float64 {
	var late []float64
	for i := range p.result.Outcomes {
		late = append(late, float64(p.result.Outcomes[i].SentLateNs)/1e6)
	}
	return percentile(late, p99)
}

// startedTwice counts the tasks that the ledgers show more than once.
func (p *played) startedTwice() int {
	type task struct {
		job   string
		index int
	}
	counts := make(map[task]int)
	twice := 0
	for i := range p.ledger {
		key := task{p.ledger[i].Job, p.ledger[i].Task}
		counts[key]++
		if counts[key] == 2 {
			twice++
		}
	}
	return twice
}
