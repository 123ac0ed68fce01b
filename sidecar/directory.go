package sidecar

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

const (
	// sessionPrefix is the key prefix of the session rows of entries.
	sessionPrefix = "sessions/"
	// minListInterval is the minimum time between two reads of the session rows.
	minListInterval = 2 * time.Second
	// unlistedEntryTimeout is how long the permit of an entry that is no longer
	// listed is still renewed after the entry's last answer.
	unlistedEntryTimeout = model.SessionTTL
	// listPageSize is the maximum number of rows per read of the table.
	listPageSize = 100
)

// sessionRow is the part of an entry's session row that a sidecar uses.
type sessionRow struct{ Entry wire.EntryInfo }

// entryList is a list of live entries received from an entry.
type entryList struct {
	entries []wire.EntryInfo
	version int64
}

// entryRenewal is a goroutine that renews the permit of one entry.
type entryRenewal struct {
	cancel  context.CancelFunc
	renewer *renewer
}

// directory maintains the list of live entries and runs a renewer for each.
type directory struct {
	sidecar  *Sidecar
	newLists chan entryList
	renewals map[model.Incarnation]entryRenewal
	// listed contains the entries of the newest list.
	listed map[model.Incarnation]bool
	// version identifies the newest list, or is zero if the list was read from
	// the table. Different lists have different versions, but versions are not
	// ordered.
	version atomic.Int64
	// lastAnswered is the last time at which any entry answered, in Unix
	// nanoseconds.
	lastAnswered atomic.Int64
	// lastRead is the time of the last read of the session rows.
	lastRead time.Time
}

func newDirectory(sidecar *Sidecar) *directory {
	return &directory{
		sidecar:  sidecar,
		newLists: make(chan entryList, 1),
		renewals: make(map[model.Incarnation]entryRenewal),
	}
}

// run reads the list from the table at the start, and again only while no entry
// answers, when an entry without a renewal calls, or when another incarnation
// answers at an entry's address. Otherwise the answers of entries carry new lists.
func (d *directory) run(ctx context.Context) {
	ticker := time.NewTicker(minListInterval)
	defer ticker.Stop()
	d.refresh(ctx)
	for {
		select {
		case list := <-d.newLists:
			d.applyList(ctx, list)
		case entry := <-d.sidecar.unknownEntries:
			d.refreshIfUnknown(ctx, entry)
		case <-ticker.C:
			d.prune()
			if d.noRecentAnswer() {
				d.refresh(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

// noRecentAnswer reports whether no entry has answered for minListInterval.
func (d *directory) noRecentAnswer() bool {
	return time.Since(time.Unix(0, d.lastAnswered.Load())) >= minListInterval
}

func (d *directory) refreshIfUnknown(ctx context.Context, entry model.Incarnation) {
	if _, known := d.renewals[entry]; !known {
		d.refresh(ctx)
	}
}

// refresh reads the session rows, at most once per minListInterval. A failed read
// changes nothing.
func (d *directory) refresh(ctx context.Context) {
	if !d.lastRead.IsZero() && time.Since(d.lastRead) < minListInterval {
		return
	}
	d.lastRead = time.Now()
	entries, err := d.listEntries(ctx)
	if err != nil {
		return
	}
	d.version.Store(0)
	d.startRenewals(ctx, entries)
}

func (d *directory) listEntries(ctx context.Context) ([]wire.EntryInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	var entries []wire.EntryInfo
	from := ""
	for {
		page, err := d.sidecar.deps.Table.List(ctx, sessionPrefix, from, listPageSize)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		for _, row := range page.Rows {
			var session sessionRow
			if json.Unmarshal(row.Value, &session) == nil && session.Entry.Address != "" {
				entries = append(entries, session.Entry)
			}
		}
		if page.Next == "" {
			return entries, nil
		}
		from = page.Next
	}
}

// applyList uses a list received from an entry.
func (d *directory) applyList(ctx context.Context, list entryList) {
	d.version.Store(list.version)
	d.startRenewals(ctx, list.entries)
}

// startRenewals starts a renewal for each new entry of a list. It does not end the
// renewals of entries missing from the list, because the sender of the list may not
// have read their session rows yet; see prune.
func (d *directory) startRenewals(ctx context.Context, entries []wire.EntryInfo) {
	d.listed = make(map[model.Incarnation]bool, len(entries))
	for _, entry := range entries {
		d.listed[entry.Incarnation] = true
		if _, known := d.renewals[entry.Incarnation]; !known {
			d.startRenewal(ctx, entry)
		}
	}
	d.sidecar.entries.Update(float64(len(d.renewals)))
}

// prune ends the renewals of entries that are no longer listed and have stopped
// answering. Their permits expire on their own.
func (d *directory) prune() {
	for incarnation, renewal := range d.renewals {
		if !d.listed[incarnation] && renewal.renewer.sinceLastAnswer() > unlistedEntryTimeout {
			renewal.cancel()
			delete(d.renewals, incarnation)
		}
	}
	d.sidecar.entries.Update(float64(len(d.renewals)))
}

func (d *directory) startRenewal(ctx context.Context, entry wire.EntryInfo) {
	ctx, cancel := context.WithCancel(ctx)
	renewer := newRenewer(d, entry)
	d.renewals[entry.Incarnation] = entryRenewal{cancel: cancel, renewer: renewer}
	d.sidecar.goroutines.Go(func() {
		defer cancel()
		renewer.run(ctx)
	})
}
