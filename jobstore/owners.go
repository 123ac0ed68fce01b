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
func (o *OwnerTable) List(ctx context.Context) ([]joblease.OwnerRow, error) {
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

// Get returns the lease row of an entry. Without a row it returns the zero value,
// and only the version of a row that does not decode.
func (o *OwnerTable) Get(ctx context.Context, name string) (joblease.OwnerRow, error) {
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

// Put writes the lease row if its stored version is still owner.Version, and
// returns the new version. Otherwise it returns ErrRevoked.
func (o *OwnerTable) Put(ctx context.Context, owner joblease.OwnerRow) (int64, error) {
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
