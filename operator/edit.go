package operator

import (
	"github.com/kataras/iris/v12"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/rollout"
)

// edits makes the edit of each action in a path, for the name in the path.
type edits map[string]func(name string) bundle.Edit

var zoneEdits = edits{
	"close": func(name string) bundle.Edit { return bundle.CloseZone{Zone: name} },
	"open":  func(name string) bundle.Edit { return bundle.OpenZone{Zone: name} },
}

var targetEdits = edits{
	"drain":   func(name string) bundle.Edit { return bundle.DrainTarget{Target: name} },
	"undrain": func(name string) bundle.Edit { return bundle.UndrainTarget{Target: name} },
}

var entryEdits = edits{
	"drain":   func(name string) bundle.Edit { return bundle.DrainEntry{Entry: name} },
	"undrain": func(name string) bundle.Edit { return bundle.UndrainEntry{Entry: name} },
}

// edit puts an emergency edit in force at once.
func (a *api) edit(known edits) endpoint {
	return func(ctx iris.Context) (answer, error) {
		newEdit, found := known[ctx.Params().Get("action")]
		if !found {
			return answer{}, rollout.ErrNotFound
		}
		raw, err := readBody(ctx.Request())
		if err != nil {
			return answer{}, err
		}
		body, err := decodeEdit(raw)
		if err != nil {
			return answer{}, err
		}
		base := rollout.AnyVersion
		if body.Base != nil {
			base = *body.Base
		}
		wanted := newEdit(ctx.Params().Get("name"))
		accepted, err := a.options.Editor.Edit(ctx.Request().Context(), operatorOf(ctx.Request()), base, wanted)
		return ok(accepted), err
	}
}
