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

// Owners keeps one row for each entry that owns jobs.
type Owners struct{ table store.Table }

// NewOwners returns the owners kept in a table.
func NewOwners(table store.Table) *Owners { return &Owners{table} }

// List returns all rows. One that can't be read names nobody.
func (o *Owners) List(ctx context.Context) ([]joblease.OwnerRow, error) {
	var owners []joblease.OwnerRow
	for from := ""; ; {
		page, err := o.table.List(ctx, "", from, listLimit)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		for _, row := range page.Rows {
			var owner joblease.OwnerRow
			if json.Unmarshal(row.Value, &owner) == nil && owner.Name == row.Key {
				owner.Version = row.Version
				owners = append(owners, owner)
			}
		}
		if page.Next == "" {
			return owners, nil
		}
		from = page.Next
	}
}

// Get returns the row of an entry, a row without a version when there is none.
func (o *Owners) Get(ctx context.Context, name string) (joblease.OwnerRow, error) {
	row, err := o.table.Get(ctx, name)
	if errors.Is(err, store.ErrNotFound) {
		return joblease.OwnerRow{}, nil
	}
	if err != nil {
		return joblease.OwnerRow{}, Error.Wrap(err)
	}
	var owner joblease.OwnerRow
	if err := json.Unmarshal(row.Value, &owner); err != nil {
		return joblease.OwnerRow{Version: row.Version}, nil
	}
	owner.Version = row.Version
	return owner, nil
}

// Put writes the row if the stored one still has its version, and returns the new
// version. It returns ErrRevoked when the row has another one.
func (o *Owners) Put(ctx context.Context, owner joblease.OwnerRow) (int64, error) {
	versions, err := o.table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: owner.Name, Version: owner.Version}},
		Writes:     []store.Write{{Key: owner.Name, Value: encode(owner)}},
	})
	if errors.Is(err, store.ErrConflict) {
		return 0, ErrRevoked
	}
	if err != nil {
		return 0, Error.Wrap(err)
	}
	return versions[0], nil
}
