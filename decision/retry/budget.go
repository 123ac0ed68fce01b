package retry

import "time"

// bucket holds the counts of one part of the window.
type bucket struct {
	requests int
	retries  int
}

// Budget limits retries over a sliding window. It is not safe for concurrent use.
type Budget struct {
	config Config
	// buckets is a ring of the parts of the window, and total is their sum.
	buckets [bucketCount]bucket
	total   bucket
	// position is the number of the newest bucket, counted from the Unix epoch.
	position int64
}

// New returns a budget without any requests or retries.
func New(config Config) *Budget {
	return &Budget{config: config.withDefaults()}
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.buckets[b.position%bucketCount].requests++
	b.total.requests++
}

// Retry reports whether the budget allows one more retry, and counts the retry if
// it does.
func (b *Budget) Retry(now time.Time) bool {
	b.advance(now)
	if float64(b.total.retries+1) > b.allowed() {
		return false
	}
	b.buckets[b.position%bucketCount].retries++
	b.total.retries++
	return true
}

// allowed returns the number of retries allowed in the current window.
func (b *Budget) allowed() float64 {
	floor := b.config.FloorPerSecond * b.config.Window.Seconds()
	return floor + b.config.Ratio*float64(b.total.requests)
}

// advance clears the buckets that are no longer in the window. It does nothing when
// the clock was set back.
func (b *Budget) advance(now time.Time) {
	width := int64(b.config.Window) / bucketCount
	target := now.UnixNano() / width
	if target-b.position > bucketCount {
		b.position = target - bucketCount
		b.buckets, b.total = [bucketCount]bucket{}, bucket{}
	}
	for b.position < target {
		b.position++
		expired := &b.buckets[b.position%bucketCount]
		b.total.requests -= expired.requests
		b.total.retries -= expired.retries
		*expired = bucket{}
	}
}
