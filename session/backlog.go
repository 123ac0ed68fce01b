package session

import "time"

// backlogBounds are the times until tasks have to start that divide a Backlog.
var backlogBounds = [...]time.Duration{
	25 * time.Millisecond,
	50 * time.Millisecond,
	100 * time.Millisecond,
	200 * time.Millisecond,
	400 * time.Millisecond,
	800 * time.Millisecond,
}

// Backlog is what waits for room, in thousandths of a core, by the time until
// it has to start. A part holds what has to start within its bound and not
// within the one before; the last holds the rest.
type Backlog [len(backlogBounds) + 1]int64

// Add adds a task that has to start within the time.
func (b *Backlog) Add(startIn time.Duration, milliCPU int64) {
	b[backlogPart(startIn)] += milliCPU
}

// Ahead returns what is due before a task that has to start within the time.
// What falls into the same part counts as due before it.
func (b *Backlog) Ahead(startIn time.Duration) int64 {
	sum := int64(0)
	for _, milliCPU := range b[:backlogPart(startIn)+1] {
		sum += milliCPU
	}
	return sum
}

// Total returns all that waits.
func (b *Backlog) Total() int64 {
	sum := int64(0)
	for _, milliCPU := range b {
		sum += milliCPU
	}
	return sum
}

func backlogPart(startIn time.Duration) int {
	for part, bound := range backlogBounds {
		if startIn <= bound {
			return part
		}
	}
	return len(backlogBounds)
}
