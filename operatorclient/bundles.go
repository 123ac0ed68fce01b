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

// inForcePoll is the interval at which AwaitInForce asks.
const inForcePoll = 50 * time.Millisecond

// Current returns the bundle that the entry acts on.
func (c *Client) Current(ctx context.Context) (Current, error) {
	var current Current
	return current, c.do(ctx, http.MethodGet, "/v1/bundle", nil, &current)
}

// InForce reports whether nothing rests on a version older than version.
func (c *Client) InForce(ctx context.Context, version int64) (bool, error) {
	var answer inForce
	err := c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/bundle/in-force?version=%d", version), nil, &answer)
	return answer.InForce, err
}

// AwaitInForce returns once nothing rests on a version older than version. It
// ends with the error of ctx, or with the last of the interface.
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
		case <-time.After(inForcePoll):
		}
	}
}

// Propose stores a proposal to replace the version that next names.
func (c *Client) Propose(ctx context.Context, next model.Bundle) (bundle.Proposal, error) {
	return c.proposal(ctx, http.MethodPost, "/v1/bundles", next)
}

// Proposal returns one proposal.
func (c *Client) Proposal(ctx context.Context, id string) (bundle.Proposal, error) {
	return c.proposal(ctx, http.MethodGet, "/v1/bundles/"+url.PathEscape(id), nil)
}

// SignOff signs a proposal off.
func (c *Client) SignOff(ctx context.Context, id string) (bundle.Proposal, error) {
	return c.proposal(ctx, http.MethodPost, "/v1/bundles/"+url.PathEscape(id)+"/sign-off", nil)
}

// Reject turns a proposal down.
func (c *Client) Reject(ctx context.Context, id string) (bundle.Proposal, error) {
	return c.proposal(ctx, http.MethodPost, "/v1/bundles/"+url.PathEscape(id)+"/reject", nil)
}

// SetCaller proposes a change of one caller.
func (c *Client) SetCaller(ctx context.Context, caller model.Caller) (bundle.Proposal, error) {
	return c.proposal(ctx, http.MethodPut, "/v1/callers/"+url.PathEscape(caller.Name), caller)
}

func (c *Client) proposal(ctx context.Context, method, path string, body any) (bundle.Proposal, error) {
	var proposal bundle.Proposal
	return proposal, c.do(ctx, method, path, body, &proposal)
}

// RollOut puts a proposal in force.
func (c *Client) RollOut(ctx context.Context, id string) (rollout.ChangeResult, error) {
	return c.accepted(ctx, "/v1/bundles/"+url.PathEscape(id)+"/roll-out", nil)
}

// Proposals lists proposals from the identifier from on.
func (c *Client) Proposals(ctx context.Context, from string) ([]bundle.Proposal, error) {
	var list []bundle.Proposal
	return list, c.do(ctx, http.MethodGet, "/v1/bundles?from="+url.QueryEscape(from), nil, &list)
}

// History lists accepted versions from the version from on.
func (c *Client) History(ctx context.Context, from int64) ([]rollout.HistoryEntry, error) {
	var list []rollout.HistoryEntry
	return list, c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/bundles/history?from=%d", from), nil, &list)
}
