package operatorclient

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
	"github.com/figring/figring/rollout"
)

// inForcePollInterval is the time between two requests of AwaitInForce.
const inForcePollInterval = 50 * time.Millisecond

// CurrentBundle returns the bundle in force as the first reachable entry
// sees it.
func (c *Client) CurrentBundle(ctx context.Context) (CurrentBundle, error) {
	var current CurrentBundle
	return current, c.do(ctx, http.MethodGet, "/v1/bundle", nil, &current)
}

// InForce reports whether nothing in the system depends on a bundle older than
// version.
func (c *Client) InForce(ctx context.Context, version int64) (bool, error) {
	var response inForceResponse
	err := c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/bundle/in-force?version=%d", version), nil, &response)
	return response.InForce, err
}

// AwaitInForce polls until nothing in the system depends on a bundle older than
// version. When ctx ends first, it returns the error of the last request, or the
// error of ctx if that request succeeded.
func (c *Client) AwaitInForce(ctx context.Context, version int64) error {
	for {
		done, err := c.InForce(ctx, version)
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			if err != nil {
				return err
			}
			return ctx.Err()
		case <-time.After(inForcePollInterval):
		}
	}
}

// Propose creates a proposal that replaces the bundle whose version is
// next.Version.
func (c *Client) Propose(ctx context.Context, next model.Bundle) (bundle.Proposal, error) {
	return c.requestProposal(ctx, http.MethodPost, "/v1/bundles", next)
}

// Proposal returns the proposal with the given identifier.
func (c *Client) Proposal(ctx context.Context, id string) (bundle.Proposal, error) {
	return c.requestProposal(ctx, http.MethodGet, "/v1/bundles/"+url.PathEscape(id), nil)
}

// SignOff approves a proposal as its second operator.
func (c *Client) SignOff(ctx context.Context, id string) (bundle.Proposal, error) {
	return c.requestProposal(ctx, http.MethodPost, "/v1/bundles/"+url.PathEscape(id)+"/sign-off", nil)
}

// Reject rejects a proposal, which can't be signed off any more.
func (c *Client) Reject(ctx context.Context, id string) (bundle.Proposal, error) {
	return c.requestProposal(ctx, http.MethodPost, "/v1/bundles/"+url.PathEscape(id)+"/reject", nil)
}

// SetCaller creates a proposal that changes one caller. It takes effect only
// after sign-off and roll-out.
func (c *Client) SetCaller(ctx context.Context, caller model.Caller) (bundle.Proposal, error) {
	return c.requestProposal(ctx, http.MethodPut, "/v1/callers/"+url.PathEscape(caller.Name), caller)
}

func (c *Client) requestProposal(ctx context.Context, method, path string, body any) (bundle.Proposal, error) {
	var proposal bundle.Proposal
	return proposal, c.do(ctx, method, path, body, &proposal)
}

// RollOut puts a proposal in force.
func (c *Client) RollOut(ctx context.Context, id string) (rollout.ChangeResult, error) {
	return c.postChange(ctx, "/v1/bundles/"+url.PathEscape(id)+"/roll-out", nil)
}

// Proposals lists proposals, starting with the identifier from.
func (c *Client) Proposals(ctx context.Context, from string) ([]bundle.Proposal, error) {
	var list []bundle.Proposal
	return list, c.do(ctx, http.MethodGet, "/v1/bundles?from="+url.QueryEscape(from), nil, &list)
}

// History lists accepted versions, starting with the version from.
func (c *Client) History(ctx context.Context, from int64) ([]rollout.HistoryEntry, error) {
	var list []rollout.HistoryEntry
	return list, c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/bundles/history?from=%d", from), nil, &list)
}
