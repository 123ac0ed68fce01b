package contract

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/figring/figring/store"
	"github.com/figring/figring/store/fault"
	"github.com/shoenig/test/must"
)

// The times that a client waits for a platform that does not answer. The
// longer one leaves a request the time to take effect first.
const (
	shortWait = 100 * time.Millisecond
	longWait  = 1 * time.Second
)

// faultCase is one fault with what a client may be told under it.
type faultCase struct {
	name     string
	settings fault.Settings
	read     error
	write    error
	// applied says whether a write takes effect under the fault.
	applied bool
	// wait bounds the client's wait for an answer; zero means no bound.
	wait time.Duration
}

// bounded returns a context that ends after the wait of the case.
func (c faultCase) bounded(t *testing.T) context.Context {
	if c.wait == 0 {
		return t.Context()
	}
	ctx, cancel := context.WithTimeout(t.Context(), c.wait)
	t.Cleanup(cancel)
	return ctx
}

func faultCases() []faultCase {
	return []faultCase{
		{"none", fault.Settings{}, nil, nil, true, 0},
		{"outage", fault.Settings{Outage: true}, store.ErrUnavailable, store.ErrUnavailable, false, 0},
		{"hang", fault.Settings{Hang: true}, store.ErrUnavailable, store.ErrUnknownOutcome, false, shortWait},
		{"slow before", fault.Settings{BeforeMillis: 60_000}, store.ErrUnavailable, store.ErrUnknownOutcome, false, shortWait},
		{"slow after", fault.Settings{AfterMillis: 60_000}, store.ErrUnavailable, store.ErrUnknownOutcome, true, longWait},
		{"reply lost", fault.Settings{ReplyLoss: 1}, nil, store.ErrUnknownOutcome, true, 0},
		{"write lost", fault.Settings{WriteLoss: 1}, nil, store.ErrUnknownOutcome, false, 0},
	}
}

// TableFaults tests what a table tells its client under faults. Every call of
// open returns an empty table and the function that switches its faults.
func TableFaults(t *testing.T, open func(t *testing.T) (store.Table, func(fault.Settings))) {
	for _, one := range faultCases() {
		t.Run(one.name, func(t *testing.T) {
			table, change := open(t)
			change(fault.Settings{})
			before := mustCommit(t, table, set("a", "1"))[0]
			change(one.settings)
			_, err := table.Commit(one.bounded(t), setIf("a", "2", before))
			mustKind(t, one.write, err)
			change(fault.Settings{})
			mustOutcome(t, table, before, one.applied)

			change(one.settings)
			_, err = table.Get(one.bounded(t), "a")
			mustKind(t, one.read, err)
			_, err = table.List(one.bounded(t), "", "", 1)
			mustKind(t, one.read, err)
		})
	}
}

// mustOutcome tests that a read tells whether the write took effect.
func mustOutcome(t *testing.T, table store.Table, before int64, applied bool) {
	t.Helper()
	if applied {
		must.Greater(t, before, mustValue(t, table, "a", "2").Version)
		return
	}
	must.Eq(t, before, mustValue(t, table, "a", "1").Version)
}

// ObjectsFaults tests what an object store tells its client under faults.
func ObjectsFaults(t *testing.T, open func(t *testing.T) (store.Objects, func(fault.Settings))) {
	for _, one := range faultCases() {
		t.Run(one.name, func(t *testing.T) {
			objects, change := open(t)
			change(fault.Settings{})
			mustPut(t, objects, "a", "1")
			change(one.settings)
			mustKind(t, one.write, objects.Delete(one.bounded(t), "a"))
			change(fault.Settings{})
			names, err := objects.List(t.Context(), "", "", 10)
			must.NoError(t, err)
			must.Eq(t, one.applied, len(names) == 0)

			mustPut(t, objects, "a", "1")
			change(one.settings)
			_, err = objects.Get(one.bounded(t), "a")
			mustKind(t, one.read, err)
		})
	}
}

// mustKind tests that err wraps want and no other error of the platform.
func mustKind(t *testing.T, want, err error) {
	t.Helper()
	if want == nil {
		must.NoError(t, err)
		return
	}
	must.ErrorIs(t, err, want)
	kinds := []error{
		store.ErrUnavailable, store.ErrConflict, store.ErrUnknownOutcome,
		store.ErrNotFound, store.ErrInvalid,
	}
	found := 0
	for _, kind := range kinds {
		if errors.Is(err, kind) {
			found++
		}
	}
	must.Eq(t, 1, found, must.Sprint(err))
}
