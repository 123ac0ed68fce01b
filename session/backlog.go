package session

import "time"

// backlogBounds are the upper bounds of the buckets of a Backlog, as times until
// a task has to start, queue delay included.
var backlogBounds = [...]time.Duration{
	25 * time.Millisecond,
	50 * time.Millisecond,
	100 * time.Millisecond,
	200 * time.Millisecond,
	400 * time.Millisecond,
	800 * time.Millisecond,
}

// Backlog is a histogram of the tasks that wait for resources. Each bucket holds
// the CPU demand, in thousandths of a core, of the tasks that have to start
// within its bound and not within the bound of the bucket before. The last
// bucket holds the rest.
type Backlog [len(backlogBounds) + 1]int64

// Add adds the CPU demand of a task that has to start within startIn.
func (b *Backlog) Add(startIn time.Duration, milliCPU int64) {
	b[backlogPart(startIn)] += milliCPU
}

// Ahead returns the CPU demand of the tasks that are due before a task that has
// to start within startIn. Tasks in the same bucket count as due before it.
func (b *Backlog) Ahead(startIn time.Duration) int64 {
	sum := int64(0)
	for _, milliCPU := range b[:backlogPart(startIn)+1] {
		sum += milliCPU
	}
	return sum
}

// Total returns the CPU demand of all waiting tasks.
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
