package operatorclient

import (
	"context"
	"net/http"
	"net/url"

	"github.com/figring/figring/rollout"
)

// editBody is the request body of an edit. Base is the version that the edit
// replaces.
type editBody struct {
	Base *int64 `json:"base,omitempty"`
}

// CloseZone takes an availability zone out of service. For this and every other
// edit, a nil base means whichever version is in force.
func (c *Client) CloseZone(ctx context.Context, zone string, base *int64) (rollout.ChangeResult, error) {
	return c.edit(ctx, "zones", zone, "close", base)
}

// OpenZone puts an availability zone back into service.
func (c *Client) OpenZone(ctx context.Context, zone string, base *int64) (rollout.ChangeResult, error) {
	return c.edit(ctx, "zones", zone, "open", base)
}

// DrainTarget stops the named sidecar from taking new work.
func (c *Client) DrainTarget(ctx context.Context, sidecar string, base *int64) (rollout.ChangeResult, error) {
	return c.edit(ctx, "targets", sidecar, "drain", base)
}

// UndrainTarget lets the named sidecar take work again.
func (c *Client) UndrainTarget(ctx context.Context, sidecar string, base *int64) (rollout.ChangeResult, error) {
	return c.edit(ctx, "targets", sidecar, "undrain", base)
}

// DrainEntry makes the named entry drain and exit.
func (c *Client) DrainEntry(ctx context.Context, entry string, base *int64) (rollout.ChangeResult, error) {
	return c.edit(ctx, "entries", entry, "drain", base)
}

// UndrainEntry lets an entry of the given name run again.
func (c *Client) UndrainEntry(ctx context.Context, entry string, base *int64) (rollout.ChangeResult, error) {
	return c.edit(ctx, "entries", entry, "undrain", base)
}

func (c *Client) edit(ctx context.Context, kind, name, action string, base *int64) (rollout.ChangeResult, error) {
	return c.postChange(ctx, "/v1/"+kind+"/"+url.PathEscape(name)+"/"+action, editBody{Base: base})
}

func (c *Client) postChange(ctx context.Context, path string, body any) (rollout.ChangeResult, error) {
	var accepted rollout.ChangeResult
	return accepted, c.do(ctx, http.MethodPost, path, body, &accepted)
}
