package rollout

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/store"
)

// fault is a fault that the fake table injects into one commit.
type fault int

const (
	faultNone fault = iota
	// faultUnavailable rejects the commit without an effect.
	faultUnavailable
	// faultLostReply applies the write and reports an unknown outcome.
	faultLostReply
	// faultLostRequest drops the write and reports an unknown outcome.
	faultLostRequest
	// faultLate reports an unknown outcome and applies the write at the next
	// commit, just before that one.
	faultLate
)

// fakeTable is an in-memory table with scripted delays and faults.
type fakeTable struct {
	mu          sync.Mutex
	rows        map[string]store.Row
	version     int64
	commits     []fault
	commitCount int
	unavailable bool
	late        *store.Txn
	inFlight    int
	peak        int
	// latency returns the delay of the reply of the n-th read, counted from 0. The
	// delay starts after the read has taken its value.
	latency func(n int) time.Duration
	reads   int
}

func newFakeTable() *fakeTable {
	return &fakeTable{
		rows:    make(map[string]store.Row),
		latency: func(int) time.Duration { return 0 },
	}
}

func (f *fakeTable) Get(ctx context.Context, key string) (store.Row, error) {
	row, found, out, latency := f.begin(key)
	defer f.end()
	if latency > 0 {
		_ = pause.For(ctx, latency)
	}
	switch {
	case out || ctx.Err() != nil:
		return store.Row{}, store.ErrUnavailable
	case !found:
		return store.Row{}, store.ErrNotFound
	}
	return row, nil
}

func (f *fakeTable) begin(key string) (store.Row, bool, bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	latency := f.latency(f.reads)
	f.reads++
	f.inFlight++
	f.peak = max(f.peak, f.inFlight)
	row, found := f.rows[key]
	return row, found, f.unavailable, latency
}

func (f *fakeTable) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
}

func (f *fakeTable) List(_ context.Context, prefix, from string, limit int) (store.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return store.Page{}, store.ErrUnavailable
	}
	var page store.Page
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key >= from {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(i, j int) bool { return page.Rows[i].Key < page.Rows[j].Key })
	page.Rows = page.Rows[:min(limit, len(page.Rows))]
	return page, nil
}

func (f *fakeTable) Commit(_ context.Context, txn store.Txn) ([]int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commitCount++
	if f.late != nil {
		_, _ = f.apply(*f.late)
		f.late = nil
	}
	switch f.nextFault() {
	case faultUnavailable:
		return nil, store.ErrUnavailable
	case faultLostReply:
		_, _ = f.apply(txn)
		return nil, store.ErrUnknownOutcome
	case faultLostRequest:
		return nil, store.ErrUnknownOutcome
	case faultLate:
		f.late = &txn
		return nil, store.ErrUnknownOutcome
	}
	return f.apply(txn)
}

func (f *fakeTable) nextFault() fault {
	if f.unavailable {
		return faultUnavailable
	}
	if len(f.commits) == 0 {
		return faultNone
	}
	next := f.commits[0]
	f.commits = f.commits[1:]
	return next
}

func (f *fakeTable) apply(txn store.Txn) ([]int64, error) {
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

func (f *fakeTable) setUnavailable(out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable = out
}

func currentRow(value string) store.Row {
	return store.Row{Key: CurrentKey, Value: []byte(value), Version: 1}
}

func (f *fakeTable) peakInFlight() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peak
}

func (f *fakeTable) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.rows, key)
}

// beforeCommitTable calls before once, just before the first commit.
type beforeCommitTable struct {
	*fakeTable
	before func()
}

func (i *beforeCommitTable) Commit(ctx context.Context, txn store.Txn) ([]int64, error) {
	if before := i.before; before != nil {
		i.before = nil
		before()
	}
	return i.fakeTable.Commit(ctx, txn)
}
