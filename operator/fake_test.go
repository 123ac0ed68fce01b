package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/identity"
	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/rollout"
	"github.com/figring/figring/settings"
	"github.com/figring/figring/store"
)

// fakeTable is a store.Table in memory. Every method returns err when it is set.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	version int64
	err     error
	// commitErr is returned by every Commit when set.
	commitErr error
}

func (f *fakeTable) Get(_ context.Context, key string) (store.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	row, found := f.rows[key]
	if !found && f.err == nil {
		return row, store.ErrNotFound
	}
	return row, f.err
}

func (f *fakeTable) List(_ context.Context, prefix, from string, limit int) (store.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var page store.Page
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key >= from {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(i, j int) bool { return page.Rows[i].Key < page.Rows[j].Key })
	page.Rows = page.Rows[:min(limit, len(page.Rows))]
	return page, f.err
}

func (f *fakeTable) Commit(_ context.Context, txn store.Txn) ([]int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil || f.commitErr != nil {
		return nil, errors.Join(f.err, f.commitErr)
	}
	for _, condition := range txn.Conditions {
		if f.rows[condition.Key].Version != condition.Version {
			return nil, store.ErrConflict
		}
	}
	versions := make([]int64, len(txn.Writes))
	for i, write := range txn.Writes {
		f.version++
		versions[i] = f.version
		f.rows[write.Key] = store.Row{Key: write.Key, Value: write.Value, Version: f.version}
	}
	return versions, nil
}

// testAPI is the operator API on a fake table. Its operators are anna and bert,
// whose tokens are their names.
type testAPI struct {
	t       *testing.T
	table   *fakeTable
	watcher *rollout.Watcher
	handler http.Handler
}

func newTestAPI(t *testing.T) *testAPI {
	t.Helper()
	return newTestAPIWithTimeout(t, DefaultTimeout)
}

func newTestAPIWithTimeout(t *testing.T, timeout time.Duration) *testAPI {
	t.Helper()
	table := &fakeTable{rows: make(map[string]store.Row)}
	watcher := rollout.NewWatcher(table, rollout.WatcherOptions{})
	_, err := watcher.ReadNow(t.Context())
	must.NoError(t, err)
	announce := func(int64) { _, _ = watcher.ReadNow(context.Background()) }
	handler, err := New(Options{
		Editor: rollout.NewEditor(table, rollout.EditorOptions{
			Rules:    bundle.Rules{Zones: []string{"schwabing", "garching"}},
			OnChange: announce,
		}),
		Watcher: watcher,
		Operators: identity.NewOperators([]settings.Operator{
			{Name: "anna", TokenHash: identity.Hash("anna")},
			{Name: "bert", TokenHash: identity.Hash("bert")},
		}),
		Status:       statusWithTimeLeft,
		MaxBodyBytes: 8 << 10,
		Timeout:      timeout,
	})
	must.NoError(t, err)
	return &testAPI{t: t, table: table, watcher: watcher, handler: handler}
}

// statusWithTimeLeft returns a status that holds the milliseconds left until the
// deadline of ctx.
func statusWithTimeLeft(ctx context.Context) any {
	deadline, _ := ctx.Deadline()
	return map[string]int64{"jobs": 3, "left": time.Until(deadline).Milliseconds()}
}

// send makes a request with the token of operator, or without a token if operator
// is empty, and decodes the response body into into.
func (r *testAPI) send(operator, method, path, body string, into any) *http.Response {
	r.t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if operator != "" {
		request.Header.Set("Authorization", "Bearer "+operator)
	}
	recorder := httptest.NewRecorder()
	r.handler.ServeHTTP(recorder, request)
	response := recorder.Result()
	raw, err := io.ReadAll(response.Body)
	must.NoError(r.t, err)
	must.NoError(r.t, json.Unmarshal(raw, into), must.Sprintf("%s %s: %s", method, path, raw))
	return response
}
