package entry

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/claims"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

const testGone = model.Incarnation("entry-3.c")

// writeClaim writes one claim as the given entry.
func (w *ownerHarness) writeClaim(self model.Incarnation) {
	writer := claims.New(w.table, self, w.members.Fence, claims.Options{})
	defer writer.Close()
	must.NoError(w.t, writer.Append(w.ctx, claims.Claim{Key: w.key(0)}))
}

// claimers returns the entries that have claims in the table.
func (w *ownerHarness) claimers() []model.Incarnation {
	found, err := claims.Claimers(w.ctx, w.table)
	must.NoError(w.t, err)
	return found
}

// TestSweep lets claims of three entries grow old: each entry's own are swept
// by itself, those of an entry that is gone by the owner of one partition, and
// those of a living one by nobody else.
func TestSweep(t *testing.T) {
	cases := []struct {
		name string
		owns bool
		age  time.Duration
		want []model.Incarnation
	}{
		{"young", true, model.Retention, []model.Incarnation{testSelf, testOther, testGone}},
		{"old", true, model.Retention + sweepMargin + time.Second, []model.Incarnation{testOther}},
		{"old, at another entry", false, model.Retention + sweepMargin + time.Second, []model.Incarnation{testOther, testGone}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withOwner(t, func(w *ownerHarness) {
				for _, writer := range []model.Incarnation{testSelf, testOther, testGone} {
					w.writeClaim(writer)
				}
				w.members.set(func(m *fakeMembers) {
					m.owns = c.owns
					m.live[testSelf] = wire.EntryInfo{}
					m.live[testOther] = wire.EntryInfo{}
				})
				time.Sleep(c.age)
				newSweeper(w.table, w.objects, testSelf, w.members).sweep(w.ctx)
				must.Eq(t, c.want, w.claimers())
			})
		})
	}
}

// TestSweepOfAnswers sweeps the answers of an entry that is gone, rows and
// objects.
func TestSweepOfAnswers(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.storeAnswer(&model.Answer{Key: w.key(0), State: model.Complete})
		stored := func() int {
			names, err := w.objects.List(w.ctx, "", "", 10)
			must.NoError(t, err)
			return len(names)
		}
		must.EqOp(t, 1, stored())
		sweeper := newSweeper(w.table, w.objects, testSelf, w.members)
		sweeper.sweep(w.ctx)
		must.EqOp(t, 1, stored())
		time.Sleep(model.Retention + sweepMargin + time.Second)
		sweeper.sweep(w.ctx)
		must.EqOp(t, 0, stored())
	})
}

// TestListSidecars reads rows in pages and names a row that can't be read.
func TestListSidecars(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.writeSidecarRow(wire.SidecarRow{Target: target(1), First: true})
		w.writeSidecarRow(wire.SidecarRow{Target: target(2), Left: true})
		rows, err := listSidecars(w.ctx, w.table)
		must.NoError(t, err)
		must.Len(t, 2, rows)
		must.True(t, rows[0].First)
		must.True(t, rows[1].Left)
		synctest.Wait()
		w.writeRow(wire.SidecarRowPrefix+"s3", "{")
		_, err = listSidecars(w.ctx, w.table)
		must.Error(t, err)
		must.True(t, strings.Contains(err.Error(), "s3"))
	})
}

// TestSweepSidecars lets rows of sidecars grow old: only that of one that left
// in order goes.
func TestSweepSidecars(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		stopped := time.Now()
		for _, row := range []wire.SidecarRow{
			{Target: wire.Target{Sidecar: "left"}, Left: true, LeftAt: stopped.UnixMilli()},
			{Target: wire.Target{Sidecar: "killed"}},
			{Target: wire.Target{Sidecar: "back"}, LeftAt: stopped.UnixMilli()},
		} {
			w.writeSidecarRow(row)
		}
		names := func() []string {
			rows, err := listSidecars(w.ctx, w.table)
			must.NoError(w.t, err)
			var names []string
			for _, row := range rows {
				names = append(names, row.Target.Sidecar)
			}
			return names
		}
		w.members.set(func(m *fakeMembers) { m.owns = true })
		sweeper := newSweeper(w.table, w.objects, testSelf, w.members)
		time.Sleep(model.Retention)
		sweeper.sweep(w.ctx)
		must.Eq(t, []string{"back", "killed", "left"}, names())
		time.Sleep(sweepMargin + time.Second)
		sweeper.sweep(w.ctx)
		must.Eq(t, []string{"back", "killed"}, names())
	})
}
