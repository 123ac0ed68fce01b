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
	// sessionPrefix starts the keys of the entries' session rows.
	sessionPrefix = "sessions/"
	// minListInterval is the least time between two reads of the session rows.
	minListInterval = 2 * time.Second
	// unlistedEntryTimeout is how long an entry that is no longer listed may be silent
	// before its permit is no longer renewed.
	unlistedEntryTimeout = model.SessionTTL
	// listPageSize is the number of rows in one read of the table.
	listPageSize = 100
)

// sessionRow is the part of an entry's session row that is read here.
type sessionRow struct{ Entry wire.EntryInfo }

// entryList is a list of live entries that an entry gave.
type entryList struct {
	entries []wire.EntryInfo
	version int64
}

// entryRenewal is the duty of one entry's permit.
type entryRenewal struct {
	cancel  context.CancelFunc
	renewer *renewer
}

// directory keeps the list of live entries and one renewal for each.
type directory struct {
	sidecar  *Sidecar
	newLists chan entryList
	renewals map[model.Incarnation]entryRenewal
	// listed is the last list.
	listed map[model.Incarnation]bool
	// version is the version of the list, and answered the last time in Unix
	// nanoseconds at which any entry answered. Versions of different lists
	// differ; they have no order.
	version      atomic.Int64
	lastAnswered atomic.Int64
	lastRead     time.Time
}

func newDirectory(sidecar *Sidecar) *directory {
	return &directory{
		sidecar:  sidecar,
		newLists: make(chan entryList, 1),
		renewals: make(map[model.Incarnation]entryRenewal),
	}
}

// run reads the list at start, and again only while no entry answers or when
// an entry calls that is not in it.
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

func (d *directory) noRecentAnswer() bool {
	return time.Since(time.Unix(0, d.lastAnswered.Load())) >= minListInterval
}

func (d *directory) refreshIfUnknown(ctx context.Context, entry model.Incarnation) {
	if _, known := d.renewals[entry]; !known {
		d.refresh(ctx)
	}
}

// refresh reads the session rows, at most once in listInterval.
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

// applyList takes a list from an entry.
func (d *directory) applyList(ctx context.Context, list entryList) {
	d.version.Store(list.version)
	d.startRenewals(ctx, list.entries)
}

// startRenewals starts the renewals of new entries. An entry that is missing from a
// list may have been left out because the one that gave the list had not read
// of it yet, so that absence alone ends nothing; see prune.
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

// prune ends the renewals of entries that are no longer listed and no longer
// answer. Their permits end by themselves.
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
