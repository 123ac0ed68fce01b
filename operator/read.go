package operator

import (
	"net/http"
	"strconv"

	"github.com/figring/figring/model"
	"github.com/figring/figring/rollout"
)

// bundleResponse is the response body of GET /v1/bundle.
type bundleResponse struct {
	Bundle model.Bundle `json:"bundle"`
	// Fresh is false when the bundle is too old for this entry to act on.
	Fresh      bool  `json:"fresh"`
	FreshForMs int64 `json:"freshForMs"`
	// InForceEverywhere is true when nothing depends on an older version.
	InForceEverywhere bool `json:"inForceEverywhere"`
}

// inForceResponse is the response body of GET /v1/bundle/in-force.
type inForceResponse struct {
	Version int64 `json:"version"`
	InForce bool  `json:"inForce"`
}

func (a *api) status(r *http.Request) (response, error) {
	return ok(a.options.Status(r.Context())), nil
}

func (a *api) currentBundle(r *http.Request) (response, error) {
	view := a.options.Watcher.View()
	freshFor := view.FreshUntil.Sub(a.options.Now())
	inForce, err := a.options.InForce(r.Context(), view.Bundle.Version)
	if err != nil {
		return response{}, err
	}
	return ok(bundleResponse{
		Bundle:            view.Bundle,
		Fresh:             freshFor > 0,
		FreshForMs:        max(freshFor.Milliseconds(), 0),
		InForceEverywhere: inForce,
	}), nil
}

func (a *api) inForce(r *http.Request) (response, error) {
	version, err := intQueryParam(r, "version", -1)
	if err != nil {
		return response{}, err
	}
	if version < 0 {
		return response{}, invalidRequest("version: want a number of at least 0")
	}
	inForce, err := a.options.InForce(r.Context(), version)
	return ok(inForceResponse{Version: version, InForce: inForce}), err
}

func (a *api) history(r *http.Request) (response, error) {
	from, err := intQueryParam(r, "from", 0)
	if err != nil {
		return response{}, err
	}
	limit, err := intQueryParam(r, "limit", rollout.MaxPageSize)
	if err != nil {
		return response{}, err
	}
	entries, err := a.options.Editor.History(r.Context(), from, clampLimit(limit))
	return ok(entries), err
}

func (a *api) listProposals(r *http.Request) (response, error) {
	limit, err := intQueryParam(r, "limit", rollout.MaxPageSize)
	if err != nil {
		return response{}, err
	}
	from := r.URL.Query().Get("from")
	proposals, err := a.options.Editor.ListProposals(r.Context(), from, clampLimit(limit))
	return ok(proposals), err
}

func (a *api) proposal(r *http.Request) (response, error) {
	found, err := a.options.Editor.Proposal(r.Context(), r.PathValue("id"))
	return ok(found), err
}

// intQueryParam returns a query parameter as a non-negative integer, or fallback
// if the parameter is missing.
func intQueryParam(r *http.Request, name string, fallback int64) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 {
		return 0, invalidRequest("%s: %q is not a number of at least 0", name, text)
	}
	return number, nil
}

func clampLimit(limit int64) int {
	return int(min(max(limit, 1), rollout.MaxPageSize))
}
