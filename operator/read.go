package operator

import (
	"strconv"

	"github.com/kataras/iris/v12"

	"github.com/figring/figring/model"
	"github.com/figring/figring/rollout"
)

// bundleAnswer is the answer of GET /v1/bundle.
type bundleAnswer struct {
	Bundle model.Bundle `json:"bundle"`
	// Fresh is false when this entry may not act on the bundle any more.
	Fresh      bool  `json:"fresh"`
	FreshForMs int64 `json:"freshForMs"`
	// InForceEverywhere is true when nothing rests on an older version.
	InForceEverywhere bool `json:"inForceEverywhere"`
}

// inForceAnswer is the answer of GET /v1/bundle/in-force.
type inForceAnswer struct {
	Version int64 `json:"version"`
	InForce bool  `json:"inForce"`
}

func (a *api) status(ctx iris.Context) (answer, error) {
	return ok(a.options.Status(ctx.Request().Context())), nil
}

func (a *api) currentBundle(ctx iris.Context) (answer, error) {
	view := a.options.Watcher.View()
	left := view.FreshUntil.Sub(a.options.Now())
	inForce, err := a.options.InForce(ctx.Request().Context(), view.Bundle.Version)
	if err != nil {
		return answer{}, err
	}
	return ok(bundleAnswer{
		Bundle:            view.Bundle,
		Fresh:             left > 0,
		FreshForMs:        max(left.Milliseconds(), 0),
		InForceEverywhere: inForce,
	}), nil
}

func (a *api) inForce(ctx iris.Context) (answer, error) {
	version, err := numberParam(ctx, "version", -1)
	if err != nil {
		return answer{}, err
	}
	if version < 0 {
		return answer{}, invalidRequest("version: want a number of at least 0")
	}
	inForce, err := a.options.InForce(ctx.Request().Context(), version)
	return ok(inForceAnswer{Version: version, InForce: inForce}), err
}

func (a *api) history(ctx iris.Context) (answer, error) {
	from, err := numberParam(ctx, "from", 0)
	if err != nil {
		return answer{}, err
	}
	limit, err := numberParam(ctx, "limit", rollout.MaxPageSize)
	if err != nil {
		return answer{}, err
	}
	entries, err := a.options.Editor.History(ctx.Request().Context(), from, clampPage(limit))
	return ok(entries), err
}

func (a *api) listProposals(ctx iris.Context) (answer, error) {
	limit, err := numberParam(ctx, "limit", rollout.MaxPageSize)
	if err != nil {
		return answer{}, err
	}
	from := ctx.Request().URL.Query().Get("from")
	proposals, err := a.options.Editor.ListProposals(ctx.Request().Context(), from, clampPage(limit))
	return ok(proposals), err
}

func (a *api) proposal(ctx iris.Context) (answer, error) {
	found, err := a.options.Editor.Proposal(ctx.Request().Context(), ctx.Params().Get("id"))
	return ok(found), err
}

// numberParam returns a whole number of the query, or fallback without it.
func numberParam(ctx iris.Context, name string, fallback int64) (int64, error) {
	text := ctx.Request().URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 {
		return 0, invalidRequest("%s: %q is not a number of at least 0", name, text)
	}
	return number, nil
}

func clampPage(limit int64) int {
	return int(min(max(limit, 1), rollout.MaxPageSize))
}
