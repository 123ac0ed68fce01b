package operatorclient

import (
	"context"
	"net/http"
	"net/url"

	"github.com/figring/figring/rollout"
)

// editBody names the version that an edit is to replace.
type editBody struct {
	Base *int64 `json:"base,omitempty"`
}

// CloseZone takes an availability zone out. Without a base an edit applies to
// whatever is in force.
func (c *Client) CloseZone(ctx context.Context, zone string, base *int64) (rollout.ChangeResult, error) {
	return c.edit(ctx, "zones", zone, "close", base)
}

// OpenZone takes an availability zone back in.
func (c *Client) OpenZone(ctx context.Context, zone string, base *int64) (rollout.ChangeResult, error) {
	return c.edit(ctx, "zones", zone, "open", base)
}

// DrainTarget lets the sidecar of that name take no new work.
func (c *Client) DrainTarget(ctx context.Context, sidecar string, base *int64) (rollout.ChangeResult, error) {
	return c.edit(ctx, "targets", sidecar, "drain", base)
}

// UndrainTarget lets the sidecar of that name take work again.
func (c *Client) UndrainTarget(ctx context.Context, sidecar string, base *int64) (rollout.ChangeResult, error) {
	return c.edit(ctx, "targets", sidecar, "undrain", base)
}

// DrainEntry makes the entry of that name drain and end.
func (c *Client) DrainEntry(ctx context.Context, entry string, base *int64) (rollout.ChangeResult, error) {
	return c.edit(ctx, "entries", entry, "drain", base)
}

// UndrainEntry lets an entry of that name run again.
func (c *Client) UndrainEntry(ctx context.Context, entry string, base *int64) (rollout.ChangeResult, error) {
	return c.edit(ctx, "entries", entry, "undrain", base)
}

func (c *Client) edit(ctx context.Context, kind, name, action string, base *int64) (rollout.ChangeResult, error) {
	return c.accepted(ctx, "/v1/"+kind+"/"+url.PathEscape(name)+"/"+action, editBody{Base: base})
}

func (c *Client) accepted(ctx context.Context, path string, body any) (rollout.ChangeResult, error) {
	var accepted rollout.ChangeResult
	return accepted, c.do(ctx, http.MethodPost, path, body, &accepted)
}
