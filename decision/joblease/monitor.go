package joblease

import "time"

// OwnerRow is the row of one entry that owns stored jobs.
type OwnerRow struct {
	Name string `json:"name"`
	// Boot identifies the incarnation that wrote the row. An entry gets a new one
	// when its process starts and when another entry has revoked its row.
	Boot string `json:"boot"`
	// Count grows with each renewal, so that every renewal changes the row.
	Count uint64 `json:"count"`
	// Released means that this incarnation owns no jobs any more: it has stopped in
	// order, or another entry has revoked its row.
	Released bool `json:"left,omitempty"`
	// Notices grows when another entry has ended a job of this owner and could not tell
	// it directly. The owner's next renewal fails then, and it compares its jobs with
	// the job store.
	Notices uint64 `json:"notices,omitempty"`
	// Version is the version of the row in the table.
	Version int64 `json:"-"`
}

// HeldBy reports whether the incarnation may own jobs by this row.
func (r OwnerRow) HeldBy(boot string) bool { return r.Boot == boot && !r.Released }

// renewedSince reports whether the owner has written the row after the earlier reading.
// A notice of another entry is no sign of life.
func (r OwnerRow) renewedSince(earlier OwnerRow) bool {
	return r.Boot != earlier.Boot || r.Count != earlier.Count || r.Released != earlier.Released
}

// Monitor tracks the rows of all entries to detect owners that have stopped renewing.
type Monitor struct {
	observations map[string]observation
	lastRead     time.Time
}

// observation is a row and the time since which its owner has not changed it.
type observation struct {
	row   OwnerRow
	since time.Time
}

// NewMonitor returns a monitor without observations.
func NewMonitor() *Monitor { return &Monitor{observations: make(map[string]observation)} }

// Observe replaces the observed rows by those of a successful read that was sent at
// now. After more than maxReadGap without a read, the unchanged time of every row
// starts again at zero.
func (m *Monitor) Observe(now time.Time, rows []OwnerRow) {
	readGap := now.Sub(m.lastRead) > maxReadGap
	m.lastRead = now
	next := make(map[string]observation, len(rows))
	for _, row := range rows {
		since := now
		if known, ok := m.observations[row.Name]; ok && !readGap && !row.renewedSince(known.row) {
			since = known.since
		}
		next[row.Name] = observation{row: row, since: since}
	}
	m.observations = next
}

// MayOwnJobs reports whether an incarnation of an entry may still own stored jobs, as
// of the newest read. An incarnation without a row has ended, because each writes its
// row before its first job.
func (m *Monitor) MayOwnJobs(name, boot string) bool {
	known, ok := m.observations[name]
	return ok && known.row.HeldBy(boot)
}

// Owners returns the identities of the entries whose rows are not released, by name.
func (m *Monitor) Owners() map[string]string {
	owners := make(map[string]string, len(m.observations))
	for name, known := range m.observations {
		if !known.row.Released {
			owners[name] = known.row.Boot
		}
	}
	return owners
}

// Expired returns the rows that were not renewed for more than TakeoverAfter and may
// be revoked.
func (m *Monitor) Expired() []OwnerRow {
	var lapsed []OwnerRow
	for _, known := range m.observations {
		if !known.row.Released && m.lastRead.Sub(known.since) > TakeoverAfter {
			lapsed = append(lapsed, known.row)
		}
	}
	return lapsed
}

// LiveEntries returns the names of the entries whose rows are neither released nor
// expired.
func (m *Monitor) LiveEntries() []string {
	var names []string
	for name, known := range m.observations {
		if !known.row.Released && m.lastRead.Sub(known.since) <= TakeoverAfter {
			names = append(names, name)
		}
	}
	return names
}

// HasRows reports whether any entry has a row, so that stored jobs may exist.
func (m *Monitor) HasRows() bool { return len(m.observations) > 0 }

// Gone returns the incarnations of entries whose rows were unchanged for so long that they are
// gone for good, by name.
func (m *Monitor) Gone() map[string]string {
	gone := make(map[string]string)
	for name, known := range m.observations {
		if m.lastRead.Sub(known.since) > goneAfter {
			gone[name] = known.row.Boot
		}
	}
	return gone
}
