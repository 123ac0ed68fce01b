package jobstore

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/figring/figring/decision/joblease"
	"github.com/figring/figring/store"
)

// ErrRevoked means that the lease row of an owner does not have the expected
// version.
var ErrRevoked = Error.New("owner row was written by another entry")

// OwnerTable stores one lease row for each entry that owns jobs. The key of the
// row is the name of the entry.
type OwnerTable struct{ table store.Table }

// NewOwnerTable returns an OwnerTable over a table that holds nothing else.
func NewOwnerTable(table store.Table) *OwnerTable { return &OwnerTable{table} }

// List returns all lease rows. It skips rows that don't decode or whose key is not
// the name of their entry.
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

// Get returns the lease row of an entry. Without a row it returns the zero value,
// and only the version of a row that does not decode.
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

// Put writes the lease row if its stored version is still beat.Version, and
// returns the new version. Otherwise it returns ErrRevoked.
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
