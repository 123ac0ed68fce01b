package classload

import "time"

// bucket admits work of a class at a rate. A job passes while the level is above zero,
// whatever its size, and may take the level below zero, so that large jobs pass as often
// as small ones.
type bucket struct {
	// level is in thousandths of a core times seconds, perSecond is what flows in.
	level     float64
	perSecond float64
	at        time.Time
}

// fill lets flow in what has come since the last call. The bucket holds the inflow of
// bucketTime.
func (b *bucket) fill(now time.Time) {
	if now.After(b.at) {
		b.level = b.levelAt(now)
		b.at = now
	}
}

// levelAt returns the level at the time if nothing is taken until then.
func (b *bucket) levelAt(now time.Time) float64 {
	if !now.After(b.at) {
		return b.level
	}
	return min(b.level+b.perSecond*now.Sub(b.at).Seconds(), b.perSecond*bucketTime.Seconds())
}

// setRate sets what flows in per second.
func (b *bucket) setRate(now time.Time, perSecond float64) {
	b.fill(now)
	b.perSecond = perSecond
}

// reset fills the bucket.
func (b *bucket) reset(now time.Time) {
	b.at = now
	b.level = b.perSecond * bucketTime.Seconds()
}

// take takes the work of a job that passes and returns what it has taken. The debt is
// bounded by the inflow of maxDebtTime: one job with a long declared run time must not
// keep its whole class out.
func (b *bucket) take(now time.Time, work float64) float64 {
	b.fill(now)
	taken := min(work, max(b.level+b.perSecond*maxDebtTime.Seconds(), 0))
	b.level -= taken
	return taken
}
