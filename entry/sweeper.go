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
	// sweepMargin is kept beyond the retention time.
	sweepMargin = model.KeySkew + time.Minute
	// sweepPartition names the partition whose owner sweeps up after entries
	// that are gone.
	sweepPartition = 0
	// sweepTimeout bounds one sweep.
	sweepTimeout = 30 * time.Second
)

// sweeper deletes what is older than the retention time: each entry its own
// claims and answers, and one of them those of the entries that are gone.
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

// sweep deletes once. An error ends it: the next sweep goes on.
func (s *sweeper) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	before := time.Now().Add(-model.Retention - sweepMargin)
	s.sweepOne(ctx, s.self, before)
	if !s.members.Owns(sweepPartition) {
		return
	}
	for _, prefix := range []string{claims.Prefix, answers.Prefix} {
		s.sweepGone(ctx, prefix, before)
	}
	s.sweepSidecars(ctx, before)
}

// sweepSidecars deletes the rows of sidecars that left in order before the given
// time: no key that is still recognised can have had a task there. The row of
// one that was killed stays, because its silence here does not prove its end.
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

func (s *sweeper) sweepOne(ctx context.Context, incarnation model.Incarnation, before time.Time) {
	_, _ = claims.Sweep(ctx, s.table, incarnation, before)
	_, _ = answers.Sweep(ctx, s.table, s.objects, incarnation, before)
}

// sweepGone sweeps the rows under prefix of every entry that does not live. It
// reads one row of each entry and skips the rest.
func (s *sweeper) sweepGone(ctx context.Context, prefix string, before time.Time) {
	from := ""
	for {
		page, err := s.table.List(ctx, prefix, from, 1)
		if err != nil || len(page.Rows) == 0 {
			return
		}
		writer, _, _ := strings.Cut(strings.TrimPrefix(page.Rows[0].Key, prefix), "/")
		if _, alive := s.members.Live(model.Incarnation(writer)); !alive {
			s.sweepOne(ctx, model.Incarnation(writer), before)
		}
		// The character after "/" starts the keys of the next entry.
		from = prefix + writer + string(rune('/'+1))
	}
}
