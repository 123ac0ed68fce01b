package fault

import (
	"context"

	"github.com/figring/figring/store"
)

// Objects wraps a store.Objects and injects the faults of an Injector.
type Objects struct {
	inner    store.Objects
	injector *Injector
}

var _ store.Objects = (*Objects)(nil)

// NewObjects returns an object store that wraps inner and injects the faults of
// injector.
func NewObjects(inner store.Objects, injector *Injector) *Objects {
	return &Objects{inner: inner, injector: injector}
}

// Put implements store.Objects.
func (o *Objects) Put(ctx context.Context, name string, body []byte) error {
	return o.injector.write(ctx, func() error {
		return o.inner.Put(context.WithoutCancel(ctx), name, body)
	})
}

// Get implements store.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	var body []byte
	err := o.injector.read(ctx, func() (err error) {
		body, err = o.inner.Get(context.WithoutCancel(ctx), name)
		return err
	})
	if err != nil {
		return nil, err
	}
	return body, nil
}

// List implements store.Objects.
func (o *Objects) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	var names []string
	err := o.injector.read(ctx, func() (err error) {
		names, err = o.inner.List(context.WithoutCancel(ctx), prefix, after, limit)
		return err
	})
	if err != nil {
		return nil, err
	}
	return names, nil
}

// Delete implements store.Objects.
func (o *Objects) Delete(ctx context.Context, name string) error {
	return o.injector.write(ctx, func() error {
		return o.inner.Delete(context.WithoutCancel(ctx), name)
	})
}
