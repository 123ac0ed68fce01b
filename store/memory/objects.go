package memory

import (
	"bytes"
	"context"
	"fmt"
	"sync"

	"github.com/figring/figring/store"
)

// Objects implements store.Objects.
type Objects struct {
	mu     sync.RWMutex
	bodies map[string][]byte
	names  sortedSet
}

var _ store.Objects = (*Objects)(nil)

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	return &Objects{bodies: make(map[string][]byte)}
}

// Put implements store.Objects.
func (o *Objects) Put(ctx context.Context, name string, body []byte) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := store.CheckUTF8(name); err != nil {
		return err
	}
	if name == "" {
		return fmt.Errorf("object with an empty name: %w", store.ErrInvalid)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bodies[name] = append([]byte{}, body...)
	o.names.add(name)
	return nil
}

// Get implements store.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	o.mu.RLock()
	defer o.mu.RUnlock()
	body, ok := o.bodies[name]
	if !ok {
		return nil, fmt.Errorf("object %q: %w", name, store.ErrNotFound)
	}
	return bytes.Clone(body), nil
}

// List implements store.Objects.
func (o *Objects) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if err := store.CheckUTF8(prefix, after); err != nil {
		return nil, err
	}
	if limit < 1 {
		return nil, fmt.Errorf("limit %d: %w", limit, store.ErrInvalid)
	}
	from := ""
	if after != "" {
		// This is the smallest string greater than after.
		from = after + "\x00"
	}
	o.mu.RLock()
	defer o.mu.RUnlock()
	page, _ := o.names.page(prefix, from, limit)
	return page, nil
}

// Delete implements store.Objects.
func (o *Objects) Delete(ctx context.Context, name string) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.bodies, name)
	o.names.remove(name)
	return nil
}
