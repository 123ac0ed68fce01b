package rollout

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

// AnyVersion as the base of an edit stands for the version in force, whichever it is.
const AnyVersion int64 = -1

// maxConflictAttempts bounds the attempts of a change that keeps failing because other
// changes are committed first.
const maxConflictAttempts = 16

// Editor changes bundles on behalf of operators. Editors in several
// processes may run concurrently; the conditions of their transactions resolve
// conflicts.
type Editor struct {
	store   bundleTable
	options EditorOptions
}

// NewEditor returns an editor of the bundles in table.
func NewEditor(table store.Table, options EditorOptions) *Editor {
	return &Editor{store: bundleTable{table: table}, options: options.withDefaults()}
}

// Current reads the bundle in force from the table.
func (e *Editor) Current(ctx context.Context) (model.Bundle, error) {
	current, _, err := e.store.current(ctx)
	return current, err
}

// Edit puts an emergency edit in force. With a base other than AnyVersion, or
// for an edit that puts something back into service, it fails with a
// ConflictError if another change is committed first. Any other edit, which takes
// something out of service, is then retried on top of the newer version.
func (e *Editor) Edit(ctx context.Context, operator string, base int64, edit bundle.Edit) (ChangeResult, error) {
	if operator == "" {
		return ChangeResult{}, bundle.ErrMissingOperator
	}
	if !edit.Emergency() {
		return ChangeResult{}, ErrSignOffNeeded
	}
	expected := base
	for range maxConflictAttempts {
		current, rowVersion, err := e.store.current(ctx)
		if err != nil {
			return ChangeResult{}, err
		}
		if expected != AnyVersion && expected != current.Version {
			return ChangeResult{}, &bundle.ConflictError{Base: expected, Current: current.Version}
		}
		if !edit.TakesOutOfService() {
			expected = current.Version
		}
		next, changed, err := bundle.ApplyEdit(current, edit, e.options.Rules)
		if err != nil {
			return ChangeResult{}, err
		}
		if !changed {
			return e.changeResult(current.Version, ""), nil
		}
		result, err := e.putInForce(ctx, rowVersion, e.newEntry(operator, editName(edit), next))
		if !errors.Is(err, errConditionFailed) {
			return result, err
		}
	}
	return ChangeResult{}, ErrTooManyConflicts
}

// editName returns the name of the edit's type with its value.
func editName(edit bundle.Edit) string {
	return strings.TrimPrefix(fmt.Sprintf("%T%+v", edit, edit), "bundle.")
}

// newEntry returns the audit record of a change that is about to be written.
func (e *Editor) newEntry(operator, change string, next model.Bundle) HistoryEntry {
	return HistoryEntry{
		Version:  next.Version,
		Attempt:  e.options.NewID(),
		Operator: operator,
		Change:   change,
		At:       e.options.Now().UTC(),
		Bundle:   next,
	}
}

// putInForce writes the entry's bundle as the one in force, together with the
// entry and the extra writes, on the condition that the row of the bundle in
// force still has version rowVersion.
func (e *Editor) putInForce(ctx context.Context, rowVersion int64, entry HistoryEntry, extra ...conditionalWrite) (ChangeResult, error) {
	txn := store.Txn{
		Conditions: []store.Condition{
			{Key: CurrentKey, Version: rowVersion},
			{Key: historyKey(entry.Version), Version: 0},
		},
		Writes: []store.Write{
			{Key: CurrentKey, Value: encode(entry.Bundle)},
			{Key: historyKey(entry.Version), Value: encode(entry)},
		},
	}
	for _, write := range extra {
		txn.Conditions = append(txn.Conditions, write.condition)
		txn.Writes = append(txn.Writes, write.write)
	}
	err := e.store.commit(ctx, attempt{id: entry.Attempt, txn: txn, applied: e.entryApplied(entry)})
	if err != nil {
		return ChangeResult{}, err
	}
	e.options.OnChange(entry.Version)
	return e.changeResult(entry.Version, entry.Attempt), nil
}

// entryApplied returns a check of whether the history contains the entry, which is
// identified by its attempt. The entry of a version is written only once, so a later
// change can't overwrite it.
func (e *Editor) entryApplied(entry HistoryEntry) func(context.Context) (bool, error) {
	return func(ctx context.Context) (bool, error) {
		stored, err := e.store.historyEntry(ctx, entry.Version)
		if errors.Is(err, ErrNotFound) {
			return false, nil
		}
		return stored.Attempt == entry.Attempt, err
	}
}

func (e *Editor) changeResult(version int64, attemptID string) ChangeResult {
	return ChangeResult{
		Version:   version,
		Changed:   attemptID != "",
		InForceBy: e.options.Now().Add(inForceDelay).Round(time.Millisecond).UTC(),
		Attempt:   attemptID,
	}
}

// conditionalWrite is a write together with a condition on the same row.
type conditionalWrite struct {
	condition store.Condition
	write     store.Write
}
