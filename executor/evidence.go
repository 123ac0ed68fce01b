package executor

import "time"

// evidencePace tells when the evidence on interference is sent to an entry: when it has
// changed, at most once in interferenceInterval.
type evidencePace struct {
	// sent is the number of changes of the evidence that was sent last, next when the
	// evidence may be sent again.
	sent uint64
	next time.Time
}

// due reports whether evidence with that number of changes is to be sent now, and if so
// records it as sent.
func (p *evidencePace) due(now time.Time, changes uint64) bool {
	if changes == p.sent || now.Before(p.next) {
		return false
	}
	p.sent = changes
	p.next = now.Add(interferenceInterval)
	return true
}
