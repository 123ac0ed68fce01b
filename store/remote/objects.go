package remote

import (
	"context"
	"fmt"

	"github.com/figring/figring/store"
	"github.com/figring/figring/store/protocol"
)

// Objects implements store.Objects.
type Objects struct {
	client *Client
}

var _ store.Objects = (*Objects)(nil)

// Put implements store.Objects.
func (o *Objects) Put(ctx context.Context, name string, body []byte) error {
	if err := store.CheckUTF8(name); err != nil {
		return err
	}
	request := protocol.PutRequest{Name: name, Body: body}
	return o.client.write(ctx, protocol.PathObjectsPut, request, &protocol.EmptyReply{})
}

// Get implements store.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	if store.CheckUTF8(name) != nil {
		return nil, fmt.Errorf("object %q: %w", name, store.ErrNotFound)
	}
	var reply protocol.ObjectReply
	err := o.client.read(ctx, protocol.PathObjectsGet, protocol.ObjectRequest{Name: name}, &reply)
	if err != nil {
		return nil, err
	}
	return reply.Body, nil
}

// List implements store.Objects.
func (o *Objects) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	if err := store.CheckUTF8(prefix, after); err != nil {
		return nil, err
	}
	var reply protocol.ListObjectsReply
	request := protocol.ListObjectsRequest{Prefix: prefix, After: after, Limit: limit}
	if err := o.client.read(ctx, protocol.PathObjectsList, request, &reply); err != nil {
		return nil, err
	}
	return reply.Names, nil
}

// Delete implements store.Objects.
func (o *Objects) Delete(ctx context.Context, name string) error {
	if store.CheckUTF8(name) != nil {
		return ctx.Err() // No object can have a name that is not valid UTF-8.
	}
	request := protocol.ObjectRequest{Name: name}
	return o.client.write(ctx, protocol.PathObjectsDelete, request, &protocol.EmptyReply{})
}
