package execution

import (
	"time"

	"github.com/figring/figring/session"
)

// lateReportLimit is the age up to which reports may be delayed. If the minion's reports
// have had lower numbers for that long, the newest one was not the minion's.
const lateReportLimit = 5 * time.Second

// reportState identifies the newest report that claims to come from the minion. Reports
// are not authenticated: another writer may have sent it, with any number in it.
type reportState struct {
	born     int64
	sequence uint64
	at       time.Time
	// rejected is the number of the newest report that was rejected since then.
	rejected uint64
	// polls is the number of polls that were sent before the first report with this born.
	polls uint64
	// replaced is what was known of the minion before that report, and replacedLeaving
	// whether it was leaving.
	replaced        session.Minion
	replacedLeaving bool
}

// AcceptReport reports whether a report about the minion is newer than all before it, and
// records its number if so. Leaving is whether the minion is about to end.
func (c *Core) AcceptReport(now time.Time, born int64, sequence uint64, leaving bool) bool {
	newest := &c.newestReport
	switch {
	case born < newest.born:
		return false
	case born > newest.born:
		*newest = reportState{born: born, polls: c.polls, replaced: c.minion, replacedLeaving: c.leaving}
	case sequence <= newest.sequence && !c.replacesNewest(now, sequence, leaving):
		newest.rejected = sequence
		return false
	}
	newest.sequence = sequence
	newest.at = now
	newest.rejected = 0
	return true
}

// replacesNewest reports whether a report with a lower number than the newest one shows
// that the number of that one was not the minion's. It never undoes that the minion is
// leaving.
func (c *Core) replacesNewest(now time.Time, sequence uint64, leaving bool) bool {
	newest := &c.newestReport
	follows := newest.rejected > 0 && sequence > newest.rejected
	return follows && now.Sub(newest.at) > lateReportLimit && (leaving || !c.leaving)
}

// checkReport compares the newest report with a listing, which comes from the minion
// itself. A report of another incarnation than the one that answers a later poll is
// withdrawn, so that it does not hide the minion's own reports.
func (c *Core) checkReport(now time.Time, listing *Listing) {
	newest := c.newestReport
	if newest.born == 0 || listing.Born == 0 || listing.Born == newest.born || listing.Poll <= newest.polls {
		return
	}
	if listing.Born < newest.born {
		c.newestReport = reportState{born: listing.Born}
		c.logEvent(LogEvent{Kind: LogReportWithdrawn})
	}
	if c.minion.Born == listing.Born {
		return
	}
	c.minionSeen = newest.replaced.Born == listing.Born
	if c.minionSeen {
		c.minion, c.leaving = newest.replaced, newest.replacedLeaving
	}
	c.reschedule(now)
}
