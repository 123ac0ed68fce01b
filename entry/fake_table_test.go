package entry

import (
	"context"
	"sync"

	"github.com/figring/figring/store"
	"github.com/figring/figring/store/memory"
)

// fakeTable is a table whose requests can be made to fail. commitErr and readErr
// are returned without any effect on the table; replyErr is returned after the
// commit took effect, like the loss of a reply.
type fakeTable struct {
	*memory.Table
	mu        sync.Mutex
	commitErr error
	replyErr  error
	readErr   error
}

func (f *fakeTable) setErrors(commitErr, replyErr, readErr error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commitErr, f.replyErr, f.readErr = commitErr, replyErr, readErr
}

func (f *fakeTable) configuredErrors() (commitErr, replyErr, readErr error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.commitErr, f.replyErr, f.readErr
}

func (f *fakeTable) Get(ctx context.Context, key string) (store.Row, error) {
	if _, _, err := f.configuredErrors(); err != nil {
		return store.Row{}, err
	}
	return f.Table.Get(ctx, key)
}

func (f *fakeTable) List(ctx context.Context, prefix, from string, limit int) (store.Page, error) {
	if _, _, err := f.configuredErrors(); err != nil {
		return store.Page{}, err
	}
	return f.Table.List(ctx, prefix, from, limit)
}

func (f *fakeTable) Commit(ctx context.Context, txn store.Txn) ([]int64, error) {
	commitErr, replyErr, _ := f.configuredErrors()
	if commitErr != nil {
		return nil, commitErr
	}
	versions, err := f.Table.Commit(ctx, txn)
	if err == nil && replyErr != nil {
		return nil, replyErr
	}
	return versions, err
}
