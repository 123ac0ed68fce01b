package contract

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/figring/figring/store"
	"github.com/shoenig/test/must"
)

// concurrentWriters is the number of goroutines that commit at the same time in the
// tests of concurrent commits.
const concurrentWriters = 16

// Table tests the contract of store.Table. Every call of open must return an empty
// table.
func Table(t *testing.T, open func(t *testing.T) store.Table) {
	cases := []struct {
		name string
		run  func(t *testing.T, table store.Table)
	}{
		{"absent row", absentRow},
		{"committed row is read", committedRow},
		{"versions increase across deletion", versionsIncreaseAcrossDeletion},
		{"conflict writes nothing", conflictWritesNothing},
		{"condition on absence", conditionOnAbsence},
		{"condition on presence fails on an absent row", conditionOnPresence},
		{"exactly one of several conflicting commits succeeds", oneConcurrentCommitSucceeds},
		{"no lost updates", noLostUpdates},
		{"listing in pages", listRowsInPages},
		{"listing by prefix", listRowsByPrefix},
		{"invalid requests", invalidTableRequests},
		{"requests with a cancelled context have no effect", cancelledTableContext},
		{"values are copied", rowValuesAreCopied},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { tc.run(t, open(t)) })
	}
}

func writeTxn(key, value string) store.Txn {
	return store.Txn{Writes: []store.Write{{Key: key, Value: []byte(value)}}}
}

func conditionalWriteTxn(key, value string, version int64) store.Txn {
	txn := writeTxn(key, value)
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
	versions := mustCommit(t, table, writeTxn("a", "\x00\xff one"))
	row := mustValue(t, table, "a", "\x00\xff one")
	must.Eq(t, versions[0], row.Version)
	must.Positive(t, row.Version)
}

func versionsIncreaseAcrossDeletion(t *testing.T, table store.Table) {
	first := mustCommit(t, table, writeTxn("a", "1"))[0]
	second := mustCommit(t, table, writeTxn("a", "2"))[0]
	must.Greater(t, first, second)
	deleted := store.Txn{Writes: []store.Write{{Key: "a", Delete: true}}}
	must.Eq(t, []int64{0}, mustCommit(t, table, deleted))
	mustAbsent(t, table, "a")
	must.Eq(t, []int64{0}, mustCommit(t, table, deleted))
	third := mustCommit(t, table, writeTxn("a", "3"))[0]
	must.Greater(t, second, third)
}

func conflictWritesNothing(t *testing.T, table store.Table) {
	version := mustCommit(t, table, writeTxn("a", "1"))[0]
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
	version := mustCommit(t, table, conditionalWriteTxn("a", "1", 0))[0]
	_, err := table.Commit(t.Context(), conditionalWriteTxn("a", "2", 0))
	must.ErrorIs(t, err, store.ErrConflict)
	mustCommit(t, table, conditionalWriteTxn("a", "3", version))
	mustValue(t, table, "a", "3")
}

func conditionOnPresence(t *testing.T, table store.Table) {
	version := mustCommit(t, table, writeTxn("a", "1"))[0]
	mustCommit(t, table, store.Txn{Writes: []store.Write{{Key: "a", Delete: true}}})
	_, err := table.Commit(t.Context(), conditionalWriteTxn("a", "2", version))
	must.ErrorIs(t, err, store.ErrConflict)
	mustAbsent(t, table, "a")
}

func oneConcurrentCommitSucceeds(t *testing.T, table store.Table) {
	errs := make([]error, concurrentWriters)
	var wg sync.WaitGroup
	for i := range concurrentWriters {
		wg.Go(func() {
			_, errs[i] = table.Commit(t.Context(), conditionalWriteTxn("a", fmt.Sprint(i), 0))
		})
	}
	wg.Wait()
	successful := -1
	for i, err := range errs {
		if err == nil {
			must.Eq(t, -1, successful, must.Sprint("more than one commit succeeded"))
			successful = i
			continue
		}
		must.ErrorIs(t, err, store.ErrConflict)
	}
	must.NotEq(t, -1, successful)
	mustValue(t, table, "a", fmt.Sprint(successful))
}

func noLostUpdates(t *testing.T, table store.Table) {
	mustCommit(t, table, writeTxn("n", ""))
	errs := make([]error, concurrentWriters)
	var wg sync.WaitGroup
	for i := range concurrentWriters {
		wg.Go(func() { errs[i] = appendByte(t.Context(), table) })
	}
	wg.Wait()
	for _, err := range errs {
		must.NoError(t, err)
	}
	row, err := table.Get(t.Context(), "n")
	must.NoError(t, err)
	must.Eq(t, concurrentWriters, len(row.Value))
}

// appendByte appends a byte to row "n" and retries as long as the commit conflicts.
func appendByte(ctx context.Context, table store.Table) error {
	for {
		row, err := table.Get(ctx, "n")
		if err != nil {
			return err
		}
		_, err = table.Commit(ctx, conditionalWriteTxn("n", string(row.Value)+"x", row.Version))
		if err == nil {
			return nil
		}
		if !isConflict(err) {
			return err
		}
	}
}

func listRowsInPages(t *testing.T, table store.Table) {
	for _, key := range []string{"p/c", "p/a", "q", "p/e", "p/b", "o", "p/d"} {
		mustCommit(t, table, writeTxn(key, "value of "+key))
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

func listRowsByPrefix(t *testing.T, table store.Table) {
	for _, key := range []string{"a", "ab", "b"} {
		mustCommit(t, table, writeTxn(key, ""))
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
	for _, tc := range cases {
		page, err := table.List(t.Context(), tc.prefix, tc.from, tc.limit)
		must.NoError(t, err)
		var keys []string
		for _, row := range page.Rows {
			keys = append(keys, row.Key)
		}
		must.Eq(t, tc.want, keys, must.Sprintf("%+v", tc))
		must.Eq(t, tc.next, page.Next, must.Sprintf("%+v", tc))
	}
}

func invalidTableRequests(t *testing.T, table store.Table) {
	cases := []struct {
		name string
		txn  store.Txn
	}{
		{"empty key", writeTxn("", "1")},
		{"condition on an empty key", store.Txn{Conditions: []store.Condition{{}}, Writes: writeTxn("a", "1").Writes}},
		{"key that is not valid UTF-8", writeTxn("\xff", "1")},
		{"condition on a key that is not valid UTF-8", store.Txn{Conditions: []store.Condition{{Key: "\xff"}}, Writes: writeTxn("a", "1").Writes}},
		{"negative version", conditionalWriteTxn("a", "1", -1)},
		{"two writes of one row", store.Txn{Writes: []store.Write{{Key: "a"}, {Key: "a"}}}},
	}
	for _, tc := range cases {
		_, err := table.Commit(t.Context(), tc.txn)
		must.ErrorIs(t, err, store.ErrInvalid, must.Sprint(tc.name))
	}
	mustAbsent(t, table, "a")
	// JSON encoding would replace the invalid byte with U+FFFD, so that the two
	// keys would refer to the same row.
	mustCommit(t, table, writeTxn("\uFFFD", "1"))
	mustAbsent(t, table, "\xff")
	_, err := table.List(t.Context(), "", "", 0)
	must.ErrorIs(t, err, store.ErrInvalid)
	_, err = table.List(t.Context(), "\xff", "", 1)
	must.ErrorIs(t, err, store.ErrInvalid)
	_, err = table.List(t.Context(), "", "\xff", 1)
	must.ErrorIs(t, err, store.ErrInvalid)
}

func cancelledTableContext(t *testing.T, table store.Table) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := table.Commit(ctx, writeTxn("a", "1"))
	must.ErrorIs(t, err, context.Canceled)
	_, err = table.Get(ctx, "a")
	must.ErrorIs(t, err, context.Canceled)
	_, err = table.List(ctx, "", "", 1)
	must.ErrorIs(t, err, context.Canceled)
	mustAbsent(t, table, "a")
}

func rowValuesAreCopied(t *testing.T, table store.Table) {
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
