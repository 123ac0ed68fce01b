package jobstore

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/figring/figring/decision/joblease"
	"github.com/figring/figring/store"
)

// ErrRevoked means that the row of an owner has another version than expected.
var ErrRevoked = Error.New("the row of the owner was written by another entry")

// OwnerTable keeps one row for each entry that owns jobs.
type OwnerTable struct{ table store.Table }

// NewOwnerTable returns the owners kept in a table.
func NewOwnerTable(table store.Table) *OwnerTable { return &OwnerTable{table} }

// List returns all rows. One that can't be read names nobody.
func (o *OwnerTable) List(ctx context.Context) ([]joblease.Beat, error) {
	var beats []joblease.Beat
	for from := ""; ; {
		page, err := o.table.List(ctx, "", from, listLimit)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		for _, row := range page.Rows {
			var beat joblease.Beat
			if json.Unmarshal(row.Value, &beat) == nil && beat.Name == row.Key {
				beat.Version = row.Version
				beats = append(beats, beat)
			}
		}
		if page.Next == "" {
			return beats, nil
		}
		from = page.Next
	}
}

// Get returns the row of an entry, a row without a version when there is none.
func (o *OwnerTable) Get(ctx context.Context, name string) (joblease.Beat, error) {
	row, err := o.table.Get(ctx, name)
	if errors.Is(err, store.ErrNotFound) {
		return joblease.Beat{}, nil
	}
	if err != nil {
		return joblease.Beat{}, Error.Wrap(err)
	}
	var beat joblease.Beat
	if err := json.Unmarshal(row.Value, &beat); err != nil {
		return joblease.Beat{Version: row.Version}, nil
	}
	beat.Version = row.Version
	return beat, nil
}

// Put writes a row that has the beat's version, and returns its new version. It
// returns ErrRevoked when the row has another one.
func (o *OwnerTable) Put(ctx context.Context, beat joblease.Beat) (int64, error) {
	versions, err := o.table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: beat.Name, Version: beat.Version}},
		Writes:     []store.Write{{Key: beat.Name, Value: encode(beat)}},
	})
	if errors.Is(err, store.ErrConflict) {
		return 0, ErrRevoked
	}
	if err != nil {
		return 0, Error.Wrap(err)
	}
	return versions[0], nil
}
