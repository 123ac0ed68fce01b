package joblease

import "time"

// OwnerRow is the row of one entry.
type OwnerRow struct {
	Name string `json:"name"`
	// Boot is the life of the entry that wrote the row.
	Boot string `json:"boot"`
	// Count rises with each renewal.
	Count uint64 `json:"count"`
	// Released means that this life owns nothing any more: it has ended in order, or
	// another entry has revoked it.
	Released bool `json:"left,omitempty"`
	// Version is that of the row.
	Version int64 `json:"-"`
}

// Monitor follows the rows of all entries.
type Monitor struct {
	seen   map[string]seen
	readAt time.Time
}

// seen is a row and since when it has been the same.
type seen struct {
	row   OwnerRow
	since time.Time
}

// NewMonitor returns a monitor that has seen nothing.
func NewMonitor() *Monitor { return &Monitor{seen: make(map[string]seen)} }

// Observe takes all rows as of a successful read that was sent at the time. After
// a gap without reads the time of every row starts anew.
func (m *Monitor) Observe(now time.Time, rows []OwnerRow) {
	gap := now.Sub(m.readAt) > maxReadGap
	m.readAt = now
	observed := make(map[string]seen, len(rows))
	for _, row := range rows {
		known, ok := m.seen[row.Name]
		if !ok || gap || known.row != row {
			known = seen{row: row, since: now}
		}
		observed[row.Name] = known
	}
	m.seen = observed
}

// MayOwnJobs reports whether a life of an entry may still run its stored jobs, as of
// the newest read. A life without a row has ended: each writes its row before its
// first job.
func (m *Monitor) MayOwnJobs(name, boot string) bool {
	known, ok := m.seen[name]
	return ok && known.row.Boot == boot && !known.row.Released
}

// Expired returns the rows that may be revoked.
func (m *Monitor) Expired() []OwnerRow {
	var lapsed []OwnerRow
	for _, known := range m.seen {
		if !known.row.Released && m.readAt.Sub(known.since) > TakeoverAfter {
			lapsed = append(lapsed, known.row)
		}
	}
	return lapsed
}

// LiveEntries returns the names of the entries that renew their rows.
func (m *Monitor) LiveEntries() []string {
	var names []string
	for name, known := range m.seen {
		if !known.row.Released && m.readAt.Sub(known.since) <= TakeoverAfter {
			names = append(names, name)
		}
	}
	return names
}

// HasRows reports whether there is a row at all: stored jobs may exist.
func (m *Monitor) HasRows() bool { return len(m.seen) > 0 }
