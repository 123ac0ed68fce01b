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

// The timeouts of a client whose platform does not reply. longTimeout leaves enough
// time for the request to take effect before the timeout expires.
const (
	shortTimeout = 100 * time.Millisecond
	longTimeout  = 1 * time.Second
)

// faultCase is a fault with the errors that a client gets while it is active.
type faultCase struct {
	name     string
	settings fault.Settings
	readErr  error
	writeErr error
	// applied is true if a write takes effect despite the fault.
	applied bool
	// timeout bounds the client's wait for a reply; zero means no bound.
	timeout time.Duration
}

// requestContext returns a context with the timeout of the case.
func (c faultCase) requestContext(t *testing.T) context.Context {
	if c.timeout == 0 {
		return t.Context()
	}
	ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
	t.Cleanup(cancel)
	return ctx
}

func faultCases() []faultCase {
	return []faultCase{
		{"none", fault.Settings{}, nil, nil, true, 0},
		{"outage", fault.Settings{Outage: true}, store.ErrUnavailable, store.ErrUnavailable, false, 0},
		{"hang", fault.Settings{Hang: true}, store.ErrUnavailable, store.ErrUnknownOutcome, false, shortTimeout},
		{"delay before the request takes effect", fault.Settings{BeforeMillis: 60_000}, store.ErrUnavailable, store.ErrUnknownOutcome, false, shortTimeout},
		{"delay after the request takes effect", fault.Settings{AfterMillis: 60_000}, store.ErrUnavailable, store.ErrUnknownOutcome, true, longTimeout},
		{"reply lost", fault.Settings{ReplyLoss: 1}, nil, store.ErrUnknownOutcome, true, 0},
		{"write lost", fault.Settings{WriteLoss: 1}, nil, store.ErrUnknownOutcome, false, 0},
	}
}

// TableFaults tests which errors a table returns while faults are active. Every
// call of open must return an empty table and a function that sets its faults.
func TableFaults(t *testing.T, open func(t *testing.T) (store.Table, func(fault.Settings))) {
	for _, tc := range faultCases() {
		t.Run(tc.name, func(t *testing.T) {
			table, setFaults := open(t)
			setFaults(fault.Settings{})
			previousVersion := mustCommit(t, table, writeTxn("a", "1"))[0]
			setFaults(tc.settings)
			_, err := table.Commit(tc.requestContext(t), conditionalWriteTxn("a", "2", previousVersion))
			mustWrapOnly(t, tc.writeErr, err)
			setFaults(fault.Settings{})
			mustReflectOutcome(t, table, previousVersion, tc.applied)

			setFaults(tc.settings)
			_, err = table.Get(tc.requestContext(t), "a")
			mustWrapOnly(t, tc.readErr, err)
			_, err = table.List(tc.requestContext(t), "", "", 1)
			mustWrapOnly(t, tc.readErr, err)
		})
	}
}

// mustReflectOutcome checks that a read of row "a" returns the new value and a
// higher version if the write was applied, and the previous ones otherwise.
func mustReflectOutcome(t *testing.T, table store.Table, previousVersion int64, applied bool) {
	t.Helper()
	if applied {
		must.Greater(t, previousVersion, mustValue(t, table, "a", "2").Version)
		return
	}
	must.Eq(t, previousVersion, mustValue(t, table, "a", "1").Version)
}

// ObjectsFaults tests which errors an object store returns while faults are
// active. Every call of open must return an empty store and a function that sets
// its faults.
func ObjectsFaults(t *testing.T, open func(t *testing.T) (store.Objects, func(fault.Settings))) {
	for _, tc := range faultCases() {
		t.Run(tc.name, func(t *testing.T) {
			objects, setFaults := open(t)
			setFaults(fault.Settings{})
			mustPut(t, objects, "a", "1")
			setFaults(tc.settings)
			mustWrapOnly(t, tc.writeErr, objects.Delete(tc.requestContext(t), "a"))
			setFaults(fault.Settings{})
			names, err := objects.List(t.Context(), "", "", 10)
			must.NoError(t, err)
			must.Eq(t, tc.applied, len(names) == 0)

			mustPut(t, objects, "a", "1")
			setFaults(tc.settings)
			_, err = objects.Get(tc.requestContext(t), "a")
			mustWrapOnly(t, tc.readErr, err)
		})
	}
}

// mustWrapOnly checks that err wraps want and no other error of package store. If
// want is nil, err must be nil.
func mustWrapOnly(t *testing.T, want, err error) {
	t.Helper()
	if want == nil {
		must.NoError(t, err)
		return
	}
	must.ErrorIs(t, err, want)
	storeErrors := []error{
		store.ErrUnavailable, store.ErrConflict, store.ErrUnknownOutcome,
		store.ErrNotFound, store.ErrInvalid,
	}
	matches := 0
	for _, storeErr := range storeErrors {
		if errors.Is(err, storeErr) {
			matches++
		}
	}
	must.Eq(t, 1, matches, must.Sprint(err))
}
