package joblease

import "time"

const (
	// AdoptPatience is how long an entry that takes jobs over waits for sidecars that it does
	// not reach, counted from when it has found the jobs without an owner. It starts nothing
	// of these jobs before that.
	AdoptPatience = 3 * time.Second
	// RunsAfterRenewal is how long runs of stored jobs go on after the newest renewal was
	// sent, if nothing is heard from the other entries. The owner begins to stop them then,
	// and they have ended before another entry, whose clock may run faster, can have waited
	// for TakeoverAfter and AdoptPatience.
	RunsAfterRenewal = 7300 * time.Millisecond
	// ConfirmationTTL is how long the confirmation of another entry, that it does not regard
	// the jobs as without an owner, lets runs go on, counted from when it was asked. Runs that
	// are stopped then have ended before that entry can have waited for AdoptPatience.
	ConfirmationTTL = 1500 * time.Millisecond
	// goneAfter is how long the row of an entry must have been unchanged before the entry
	// counts as gone for good, so that its confirmation is not needed.
	goneAfter = time.Minute
)

// RunGuard decides how long the runs of stored jobs may go on at sidecars that only their owner
// may reach, once its lease has ended. Another entry may take the jobs over then and start the
// tasks again, but not before it has found the jobs without an owner and has waited for
// AdoptPatience. While all entries that could do so say that they have not found that, as
// during an outage of the table, runs go on.
type RunGuard struct {
	renewedAt time.Time
	// confirmedAt has when each entry that has confirmed the ownership was asked.
	confirmedAt map[string]time.Time
}

// Renewed records a successful renewal that was sent at sentAt.
func (g *RunGuard) Renewed(sentAt time.Time) {
	if sentAt.After(g.renewedAt) {
		g.renewedAt = sentAt
	}
}

// Confirmed records that an entry, asked at askedAt, does not regard the jobs as without an
// owner.
func (g *RunGuard) Confirmed(entry string, askedAt time.Time) {
	if g.confirmedAt == nil {
		g.confirmedAt = make(map[string]time.Time)
	}
	if askedAt.After(g.confirmedAt[entry]) {
		g.confirmedAt[entry] = askedAt
	}
}

// Until returns until when runs may go on, where the others are the entries that could take the
// jobs over. The result is the zero time if there never was a renewal.
func (g *RunGuard) Until(now time.Time, others []string) time.Time {
	if g.renewedAt.IsZero() {
		return time.Time{}
	}
	oldest := now
	for _, other := range others {
		if asked := g.confirmedAt[other]; asked.Before(oldest) {
			oldest = asked
		}
	}
	confirmed, renewed := oldest.Add(ConfirmationTTL), g.renewedAt.Add(RunsAfterRenewal)
	if confirmed.After(renewed) {
		return confirmed
	}
	return renewed
}
