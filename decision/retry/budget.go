package retry

import "time"

// bucket counts one part of the window.
type bucket struct {
	requests int
	retries  int
}

// Budget decides whether a retry may be made. It is not safe for concurrent use.
type Budget struct {
	config   Config
	buckets  [bucketCount]bucket
	total    bucket
	position int64
}

// New returns a budget without history.
func New(config Config) *Budget {
	return &Budget{config: config.withDefaults()}
}

// RecordRequest counts a first attempt.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.buckets[b.position%bucketCount].requests++
	b.total.requests++
}

// Retry counts a retry and reports true if the budget allows one more, and
// reports false without counting it otherwise.
func (b *Budget) Retry(now time.Time) bool {
	b.advance(now)
	if float64(b.total.retries+1) > b.allowed() {
		return false
	}
	b.buckets[b.position%bucketCount].retries++
	b.total.retries++
	return true
}

// allowed returns the number of retries that the window may hold.
func (b *Budget) allowed() float64 {
	floor := b.config.FloorPerSecond * b.config.Window.Seconds()
	return floor + b.config.Ratio*float64(b.total.requests)
}

// advance empties the buckets that left the window. Time that goes back leaves
// the position where it is.
func (b *Budget) advance(now time.Time) {
	width := int64(b.config.Window) / bucketCount
	target := now.UnixNano() / width
	if target-b.position > bucketCount {
		b.position = target - bucketCount
		b.buckets, b.total = [bucketCount]bucket{}, bucket{}
	}
	for b.position < target {
		b.position++
		left := &b.buckets[b.position%bucketCount]
		b.total.requests -= left.requests
		b.total.retries -= left.retries
		*left = bucket{}
	}
}
