package operator

import (
	"net/http"

	"github.com/kataras/iris/v12"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
)

func (a *api) propose(ctx iris.Context) (answer, error) {
	raw, err := readBody(ctx.Request())
	if err != nil {
		return answer{}, err
	}
	next, err := decodeBundle(raw)
	if err != nil {
		return answer{}, err
	}
	operator := operatorOf(ctx.Request())
	made, err := a.options.Editor.Propose(ctx.Request().Context(), operator, next.Version, next)
	return created(made), err
}

// setCaller proposes a change of one caller's quota, weight or token.
func (a *api) setCaller(ctx iris.Context) (answer, error) {
	raw, err := readBody(ctx.Request())
	if err != nil {
		return answer{}, err
	}
	name := ctx.Params().Get("name")
	caller := model.Caller{Name: name}
	if err := decodeStrict(raw, &caller); err != nil {
		return answer{}, err
	}
	if caller.Name != name {
		return answer{}, invalidRequest("name: %q is not the name in the path", caller.Name)
	}
	operator := operatorOf(ctx.Request())
	made, err := a.options.Editor.ProposeEdit(ctx.Request().Context(), operator, bundle.SetCaller{Caller: caller})
	return created(made), err
}

func created(made bundle.Proposal) answer {
	return answer{status: http.StatusCreated, location: "/v1/bundles/" + made.ID, body: made}
}

func (a *api) signOff(ctx iris.Context) (answer, error) {
	if err := a.noBody(ctx); err != nil {
		return answer{}, err
	}
	operator := operatorOf(ctx.Request())
	signed, err := a.options.Editor.SignOff(ctx.Request().Context(), operator, ctx.Params().Get("id"))
	return ok(signed), err
}

func (a *api) reject(ctx iris.Context) (answer, error) {
	if err := a.noBody(ctx); err != nil {
		return answer{}, err
	}
	operator := operatorOf(ctx.Request())
	rejected, err := a.options.Editor.Reject(ctx.Request().Context(), operator, ctx.Params().Get("id"))
	return ok(rejected), err
}

func (a *api) rollOut(ctx iris.Context) (answer, error) {
	if err := a.noBody(ctx); err != nil {
		return answer{}, err
	}
	operator := operatorOf(ctx.Request())
	accepted, err := a.options.Editor.RollOut(ctx.Request().Context(), operator, ctx.Params().Get("id"))
	return ok(accepted), err
}

// noBody refuses a body, which the operator would wrongly expect to matter. An
// empty object is let through.
func (a *api) noBody(ctx iris.Context) error {
	raw, err := readBody(ctx.Request())
	if err != nil || len(raw) == 0 {
		return err
	}
	return decodeStrict(raw, &struct{}{})
}
