package classload

import (
	"math"
	"time"
)

// classState is what an entry keeps of one class. Work is in thousandths of a core times
// seconds, rates are in thousandths of a core.
type classState struct {
	class Class
	// offered is the work that callers offer to this entry.
	offered rate
	pace    pace
	// demand is the rate that all entries offer to the capacity within reach, given the
	// part of it that the class gets.
	demand, given float64
	// usual is the mean of the demand over usualTime, updated last at claimedAt.
	usual     float64
	claimedAt time.Time
	// urgentShare is the share of the usable capacity that more urgent classes get.
	urgentShare float64
	bucket      bucket
	promises    *promises
	counts      Counts
}

// Counts are the sums over the jobs of a class since the start of the entry.
type Counts struct {
	// OfferedWork and AdmittedWork are in thousandths of a core times seconds.
	OfferedWork, AdmittedWork float64
	// Shed is the number of jobs that were shed.
	Shed int64
}

// Below reports whether any of the sums is below an earlier one, so that counting has
// begun anew since.
func (c *Counts) Below(earlier *Counts) bool {
	return c.OfferedWork < earlier.OfferedWork || c.AdmittedWork < earlier.AdmittedWork || c.Shed < earlier.Shed
}

// claim updates the usual demand with the time constant and returns what the class asks
// for.
func (c *classState) claim(now time.Time, demand float64, constant time.Duration) claim {
	if c.claimedAt.IsZero() {
		c.usual = demand
	}
	c.usual += (demand - c.usual) * (1 - math.Exp(-now.Sub(c.claimedAt).Seconds()/constant.Seconds()))
	c.claimedAt = now
	return claim{demand, c.usual}
}

// share sets the result of a division of the capacity. The entry admits its own part of
// what the class gets.
func (c *classState) share(now time.Time, demand, given, urgentShare float64) {
	c.demand, c.given, c.urgentShare = demand, given, urgentShare
	c.bucket.setRate(now, c.ownRate(now)*c.admitShare())
}

// ownRate returns the rate that callers offer to this entry.
func (c *classState) ownRate(now time.Time) float64 { return c.offered.value(now, rateTime) }

// admitShare returns the share of the offered work that the class can be given.
func (c *classState) admitShare() float64 {
	if c.demand <= 0 {
		return 1
	}
	return c.given / c.demand
}

// retryRate returns the work that is promised in each second, given the rate that callers
// offer.
func (c *classState) retryRate(own float64) float64 { return retryShare * own * c.admitShare() }

// limited reports whether the class gets less than its demand.
func (c *classState) limited() bool { return c.given < c.demand }
