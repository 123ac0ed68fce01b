package remote

import (
	"context"
	"fmt"

	"github.com/figring/figring/store"
	"github.com/figring/figring/store/protocol"
)

// Table implements store.Table.
type Table struct {
	client *Client
}

var _ store.Table = (*Table)(nil)

// Get implements store.Table.
func (t *Table) Get(ctx context.Context, key string) (store.Row, error) {
	if store.CheckUTF8(key) != nil {
		return store.Row{}, fmt.Errorf("row %q: %w", key, store.ErrNotFound)
	}
	var reply protocol.Row
	err := t.client.read(ctx, protocol.PathTableGet, protocol.GetRequest{Key: key}, &reply)
	if err != nil {
		return store.Row{}, err
	}
	if reply.Key != key {
		return store.Row{}, fmt.Errorf("reply for row %q, want %q: %w", reply.Key, key, store.ErrUnavailable)
	}
	return store.Row(reply), nil
}

// List implements store.Table.
func (t *Table) List(ctx context.Context, prefix, from string, limit int) (store.Page, error) {
	if err := store.CheckUTF8(prefix, from); err != nil {
		return store.Page{}, err
	}
	var reply protocol.ListReply
	request := protocol.ListRequest{Prefix: prefix, From: from, Limit: limit}
	if err := t.client.read(ctx, protocol.PathTableList, request, &reply); err != nil {
		return store.Page{}, err
	}
	return reply.Page(), nil
}

// Commit implements store.Table.
func (t *Table) Commit(ctx context.Context, txn store.Txn) ([]int64, error) {
	if err := txn.CheckUTF8(); err != nil {
		return nil, err
	}
	var reply protocol.CommitReply
	err := t.client.write(ctx, protocol.PathTableCommit, protocol.NewCommitRequest(txn), &reply)
	if err != nil {
		return nil, err
	}
	if len(reply.Versions) != len(txn.Writes) {
		return nil, fmt.Errorf("%d versions for %d writes: %w",
			len(reply.Versions), len(txn.Writes), store.ErrUnknownOutcome)
	}
	return reply.Versions, nil
}
