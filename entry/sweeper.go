package entry

import (
	"context"
	"strings"
	"time"

	"github.com/figring/figring/answers"
	"github.com/figring/figring/claims"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

const (
	// sweepInterval is the interval between two sweeps of the table.
	sweepInterval = time.Minute
	// sweepMargin is how much longer than model.Retention rows are kept. A key
	// may be model.KeySkew ahead of the clock, so it is recognised that much longer.
	sweepMargin = model.KeySkew + time.Minute
	// sharedSweepPartition is the partition whose owner also deletes the rows of
	// dead entries and of stopped sidecars.
	sharedSweepPartition = 0
	// sweepTimeout bounds one sweep.
	sweepTimeout = 30 * time.Second
)

// sweeper deletes rows and objects that are past the retention time. Each entry
// deletes its own claims and answers; the owner of sharedSweepPartition also
// deletes those of dead entries, and the rows of stopped sidecars.
type sweeper struct {
	table   store.Table
	objects store.Objects
	self    model.Incarnation
	members Membership
}

func newSweeper(table store.Table, objects store.Objects, self model.Incarnation, members Membership) *sweeper {
	return &sweeper{table: table, objects: objects, self: self, members: members}
}

func (s *sweeper) run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sweep(ctx)
		}
	}
}

// sweep makes one pass. Errors are not retried, because the next pass deletes
// what this one left.
func (s *sweeper) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	before := time.Now().Add(-model.Retention - sweepMargin)
	s.sweepEntry(ctx, s.self, before)
	if !s.members.Owns(sharedSweepPartition) {
		return
	}
	for _, prefix := range []string{claims.Prefix, answers.Prefix} {
		s.sweepDeadEntries(ctx, prefix, before)
	}
	s.sweepSidecars(ctx, before)
}

// sweepSidecars deletes the rows of sidecars that stopped in order before the
// given time: no key that is still recognised can have had a task there. The
// row of a killed sidecar is kept, because missing reports do not prove that it
// has ended.
func (s *sweeper) sweepSidecars(ctx context.Context, before time.Time) {
	rows, err := listSidecars(ctx, s.table)
	if err != nil {
		return
	}
	for _, row := range rows {
		left := row.ShutdownTime()
		if left.IsZero() || !left.Before(before) {
			continue
		}
		key := wire.SidecarRowPrefix + row.Target.Sidecar
		_, _ = s.table.Commit(ctx, store.Txn{
			Conditions: []store.Condition{{Key: key, Version: row.version}},
			Writes:     []store.Write{{Key: key, Delete: true}},
		})
	}
}

func (s *sweeper) sweepEntry(ctx context.Context, incarnation model.Incarnation, before time.Time) {
	_, _ = claims.Sweep(ctx, s.table, incarnation, before)
	_, _ = answers.Sweep(ctx, s.table, s.objects, incarnation, before)
}

// sweepDeadEntries sweeps the claims and answers of every dead entry that has
// rows under prefix. It reads one row of each entry and skips the others.
func (s *sweeper) sweepDeadEntries(ctx context.Context, prefix string, before time.Time) {
	from := ""
	for {
		page, err := s.table.List(ctx, prefix, from, 1)
		if err != nil || len(page.Rows) == 0 {
			return
		}
		writer, _, _ := strings.Cut(strings.TrimPrefix(page.Rows[0].Key, prefix), "/")
		if _, alive := s.members.Live(model.Incarnation(writer)); !alive {
			s.sweepEntry(ctx, model.Incarnation(writer), before)
		}
		// The character after "/" sorts past all of this entry's keys, so the
		// next page starts at the next entry.
		from = prefix + writer + string(rune('/'+1))
	}
}
