package contract

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/figring/figring/store"
	"github.com/shoenig/test/must"
)

// racers is the number of concurrent commits in the test of one winner.
const racers = 16

// Table tests what store.Table promises. Every call of open returns an
// empty table.
func Table(t *testing.T, open func(t *testing.T) store.Table) {
	cases := []struct {
		name string
		run  func(t *testing.T, table store.Table)
	}{
		{"absent row", absentRow},
		{"committed row is read", committedRow},
		{"versions grow across deletion", versionsGrow},
		{"conflict writes nothing", conflictWritesNothing},
		{"condition on absence", conditionOnAbsence},
		{"condition on presence fails on an absent row", conditionOnPresence},
		{"one winner of concurrent commits", oneWinner},
		{"no lost update", noLostUpdate},
		{"listing in pages", listingInPages},
		{"listing of a prefix", listingOfPrefix},
		{"invalid requests", invalidTableRequests},
		{"ended context has no effect", endedContext},
		{"values are copies", valuesAreCopies},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) { one.run(t, open(t)) })
	}
}

func set(key, value string) store.Txn {
	return store.Txn{Writes: []store.Write{{Key: key, Value: []byte(value)}}}
}

func setIf(key, value string, version int64) store.Txn {
	txn := set(key, value)
	txn.Conditions = []store.Condition{{Key: key, Version: version}}
	return txn
}

func mustCommit(t *testing.T, table store.Table, txn store.Txn) []int64 {
	t.Helper()
	versions, err := table.Commit(t.Context(), txn)
	must.NoError(t, err)
	must.SliceLen(t, len(txn.Writes), versions)
	return versions
}

func mustAbsent(t *testing.T, table store.Table, key string) {
	t.Helper()
	_, err := table.Get(t.Context(), key)
	must.ErrorIs(t, err, store.ErrNotFound)
}

func mustValue(t *testing.T, table store.Table, key, value string) store.Row {
	t.Helper()
	row, err := table.Get(t.Context(), key)
	must.NoError(t, err)
	must.Eq(t, key, row.Key)
	must.Eq(t, value, string(row.Value))
	return row
}

func absentRow(t *testing.T, table store.Table) {
	mustAbsent(t, table, "a")
	page, err := table.List(t.Context(), "", "", 10)
	must.NoError(t, err)
	must.SliceEmpty(t, page.Rows)
	must.Eq(t, "", page.Next)
}

func committedRow(t *testing.T, table store.Table) {
	versions := mustCommit(t, table, set("a", "\x00\xff one"))
	row := mustValue(t, table, "a", "\x00\xff one")
	must.Eq(t, versions[0], row.Version)
	must.Positive(t, row.Version)
}

func versionsGrow(t *testing.T, table store.Table) {
	first := mustCommit(t, table, set("a", "1"))[0]
	second := mustCommit(t, table, set("a", "2"))[0]
	must.Greater(t, first, second)
	deleted := store.Txn{Writes: []store.Write{{Key: "a", Delete: true}}}
	must.Eq(t, []int64{0}, mustCommit(t, table, deleted))
	mustAbsent(t, table, "a")
	must.Eq(t, []int64{0}, mustCommit(t, table, deleted))
	third := mustCommit(t, table, set("a", "3"))[0]
	must.Greater(t, second, third)
}

func conflictWritesNothing(t *testing.T, table store.Table) {
	version := mustCommit(t, table, set("a", "1"))[0]
	txn := store.Txn{
		Conditions: []store.Condition{{Key: "a", Version: version}, {Key: "fence", Version: 1}},
		Writes:     []store.Write{{Key: "a", Value: []byte("2")}, {Key: "b", Value: []byte("2")}},
	}
	_, err := table.Commit(t.Context(), txn)
	must.ErrorIs(t, err, store.ErrConflict)
	must.Eq(t, version, mustValue(t, table, "a", "1").Version)
	mustAbsent(t, table, "b")
}

func conditionOnAbsence(t *testing.T, table store.Table) {
	version := mustCommit(t, table, setIf("a", "1", 0))[0]
	_, err := table.Commit(t.Context(), setIf("a", "2", 0))
	must.ErrorIs(t, err, store.ErrConflict)
	mustCommit(t, table, setIf("a", "3", version))
	mustValue(t, table, "a", "3")
}

func conditionOnPresence(t *testing.T, table store.Table) {
	version := mustCommit(t, table, set("a", "1"))[0]
	mustCommit(t, table, store.Txn{Writes: []store.Write{{Key: "a", Delete: true}}})
	_, err := table.Commit(t.Context(), setIf("a", "2", version))
	must.ErrorIs(t, err, store.ErrConflict)
	mustAbsent(t, table, "a")
}

func oneWinner(t *testing.T, table store.Table) {
	errs := make([]error, racers)
	var wait sync.WaitGroup
	for i := range racers {
		wait.Go(func() {
			_, errs[i] = table.Commit(t.Context(), setIf("a", fmt.Sprint(i), 0))
		})
	}
	wait.Wait()
	winner := -1
	for i, err := range errs {
		if err == nil {
			must.Eq(t, -1, winner, must.Sprint("two winners"))
			winner = i
			continue
		}
		must.ErrorIs(t, err, store.ErrConflict)
	}
	must.NotEq(t, -1, winner)
	mustValue(t, table, "a", fmt.Sprint(winner))
}

func noLostUpdate(t *testing.T, table store.Table) {
	mustCommit(t, table, set("n", ""))
	errs := make([]error, racers)
	var wait sync.WaitGroup
	for i := range racers {
		wait.Go(func() { errs[i] = appendOne(t.Context(), table) })
	}
	wait.Wait()
	for _, err := range errs {
		must.NoError(t, err)
	}
	row, err := table.Get(t.Context(), "n")
	must.NoError(t, err)
	must.Eq(t, racers, len(row.Value))
}

// appendOne appends a byte to row n, however often it meets a conflict.
func appendOne(ctx context.Context, table store.Table) error {
	for {
		row, err := table.Get(ctx, "n")
		if err != nil {
			return err
		}
		_, err = table.Commit(ctx, setIf("n", string(row.Value)+"x", row.Version))
		if err == nil {
			return nil
		}
		if !isConflict(err) {
			return err
		}
	}
}

func listingInPages(t *testing.T, table store.Table) {
	for _, key := range []string{"p/c", "p/a", "q", "p/e", "p/b", "o", "p/d"} {
		mustCommit(t, table, set(key, "value of "+key))
	}
	var sizes []int
	var keys []string
	for from := ""; ; {
		page, err := table.List(t.Context(), "p/", from, 2)
		must.NoError(t, err)
		sizes = append(sizes, len(page.Rows))
		for _, row := range page.Rows {
			must.Eq(t, "value of "+row.Key, string(row.Value))
			must.Positive(t, row.Version)
			keys = append(keys, row.Key)
		}
		if page.Next == "" {
			break
		}
		from = page.Next
	}
	must.Eq(t, []int{2, 2, 1}, sizes)
	must.Eq(t, []string{"p/a", "p/b", "p/c", "p/d", "p/e"}, keys)
}

func listingOfPrefix(t *testing.T, table store.Table) {
	for _, key := range []string{"a", "ab", "b"} {
		mustCommit(t, table, set(key, ""))
	}
	mustCommit(t, table, store.Txn{Writes: []store.Write{{Key: "ab", Delete: true}}})
	cases := []struct {
		prefix, from string
		limit        int
		want         []string
		next         string
	}{
		{"", "", 10, []string{"a", "b"}, ""},
		{"", "", 2, []string{"a", "b"}, ""},
		{"", "", 1, []string{"a"}, "b"},
		{"a", "", 10, []string{"a"}, ""},
		{"a", "", 1, []string{"a"}, ""},
		{"", "aa", 10, []string{"b"}, ""},
		{"b", "a", 10, []string{"b"}, ""},
		{"a", "b", 10, nil, ""},
		{"c", "", 10, nil, ""},
	}
	for _, one := range cases {
		page, err := table.List(t.Context(), one.prefix, one.from, one.limit)
		must.NoError(t, err)
		var keys []string
		for _, row := range page.Rows {
			keys = append(keys, row.Key)
		}
		must.Eq(t, one.want, keys, must.Sprintf("%+v", one))
		must.Eq(t, one.next, page.Next, must.Sprintf("%+v", one))
	}
}

func invalidTableRequests(t *testing.T, table store.Table) {
	cases := []struct {
		name string
		txn  store.Txn
	}{
		{"empty key", set("", "1")},
		{"condition on an empty key", store.Txn{Conditions: []store.Condition{{}}, Writes: set("a", "1").Writes}},
		{"key that is no text", set("\xff", "1")},
		{"condition on a key that is no text", store.Txn{Conditions: []store.Condition{{Key: "\xff"}}, Writes: set("a", "1").Writes}},
		{"negative version", setIf("a", "1", -1)},
		{"two writes of one row", store.Txn{Writes: []store.Write{{Key: "a"}, {Key: "a"}}}},
	}
	for _, one := range cases {
		_, err := table.Commit(t.Context(), one.txn)
		must.ErrorIs(t, err, store.ErrInvalid, must.Sprint(one.name))
	}
	mustAbsent(t, table, "a")
	// JSON would turn the invalid byte into this character.
	mustCommit(t, table, set("\uFFFD", "1"))
	mustAbsent(t, table, "\xff")
	_, err := table.List(t.Context(), "", "", 0)
	must.ErrorIs(t, err, store.ErrInvalid)
	_, err = table.List(t.Context(), "\xff", "", 1)
	must.ErrorIs(t, err, store.ErrInvalid)
	_, err = table.List(t.Context(), "", "\xff", 1)
	must.ErrorIs(t, err, store.ErrInvalid)
}

func endedContext(t *testing.T, table store.Table) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := table.Commit(ctx, set("a", "1"))
	must.ErrorIs(t, err, context.Canceled)
	_, err = table.Get(ctx, "a")
	must.ErrorIs(t, err, context.Canceled)
	_, err = table.List(ctx, "", "", 1)
	must.ErrorIs(t, err, context.Canceled)
	mustAbsent(t, table, "a")
}

func valuesAreCopies(t *testing.T, table store.Table) {
	value := []byte("1")
	mustCommit(t, table, store.Txn{Writes: []store.Write{{Key: "a", Value: value}}})
	value[0] = '2'
	row := mustValue(t, table, "a", "1")
	row.Value[0] = '3'
	mustValue(t, table, "a", "1")
	page, err := table.List(t.Context(), "", "", 1)
	must.NoError(t, err)
	must.SliceLen(t, 1, page.Rows)
	page.Rows[0].Value[0] = '4'
	mustValue(t, table, "a", "1")
}
