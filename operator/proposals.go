package operator

import (
	"net/http"

	"github.com/kataras/iris/v12"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
)

func (a *api) propose(ctx iris.Context) (response, error) {
	raw, err := readBody(ctx.Request())
	if err != nil {
		return response{}, err
	}
	next, err := decodeBundle(raw)
	if err != nil {
		return response{}, err
	}
	operator := operatorOf(ctx.Request())
	proposal, err := a.options.Editor.Propose(ctx.Request().Context(), operator, next.Version, next)
	return createdProposal(proposal), err
}

// setCaller proposes a change to one caller's quota, weight or token.
func (a *api) setCaller(ctx iris.Context) (response, error) {
	raw, err := readBody(ctx.Request())
	if err != nil {
		return response{}, err
	}
	name := ctx.Params().Get("name")
	caller := model.Caller{Name: name}
	if err := decodeStrict(raw, &caller); err != nil {
		return response{}, err
	}
	if caller.Name != name {
		return response{}, invalidRequest("name: %q is not the name in the path", caller.Name)
	}
	operator := operatorOf(ctx.Request())
	proposal, err := a.options.Editor.ProposeEdit(ctx.Request().Context(), operator, bundle.SetCaller{Caller: caller})
	return createdProposal(proposal), err
}

func createdProposal(proposal bundle.Proposal) response {
	return response{status: http.StatusCreated, location: "/v1/bundles/" + proposal.ID, body: proposal}
}

func (a *api) signOff(ctx iris.Context) (response, error) {
	if err := a.requireEmptyBody(ctx); err != nil {
		return response{}, err
	}
	operator := operatorOf(ctx.Request())
	proposal, err := a.options.Editor.SignOff(ctx.Request().Context(), operator, ctx.Params().Get("id"))
	return ok(proposal), err
}

func (a *api) reject(ctx iris.Context) (response, error) {
	if err := a.requireEmptyBody(ctx); err != nil {
		return response{}, err
	}
	operator := operatorOf(ctx.Request())
	proposal, err := a.options.Editor.Reject(ctx.Request().Context(), operator, ctx.Params().Get("id"))
	return ok(proposal), err
}

func (a *api) rollOut(ctx iris.Context) (response, error) {
	if err := a.requireEmptyBody(ctx); err != nil {
		return response{}, err
	}
	operator := operatorOf(ctx.Request())
	accepted, err := a.options.Editor.RollOut(ctx.Request().Context(), operator, ctx.Params().Get("id"))
	return ok(accepted), err
}

// requireEmptyBody returns an error for a request with a body, because the
// operator would expect it to have an effect. An empty object is accepted.
func (a *api) requireEmptyBody(ctx iris.Context) error {
	raw, err := readBody(ctx.Request())
	if err != nil || len(raw) == 0 {
		return err
	}
	return decodeStrict(raw, &struct{}{})
}
