package operatorclient

import (
	"context"
	"net/http"

	"github.com/figring/figring/entry"
)

// Status returns a summary of every live entry.
func (c *Client) Status(ctx context.Context) (entry.SystemStatus, error) {
	var status entry.SystemStatus
	return status, c.do(ctx, http.MethodGet, "/v1/status", nil, &status)
}
