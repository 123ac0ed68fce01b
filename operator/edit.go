package operator

import (
	"net/http"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/rollout"
)

// editsByAction maps the action in a path to a constructor of the edit, which
// takes the name in the path.
type editsByAction map[string]func(name string) bundle.Edit

var zoneEdits = editsByAction{
	"close": func(name string) bundle.Edit { return bundle.CloseZone{Zone: name} },
	"open":  func(name string) bundle.Edit { return bundle.OpenZone{Zone: name} },
}

var targetEdits = editsByAction{
	"drain":   func(name string) bundle.Edit { return bundle.DrainTarget{Target: name} },
	"undrain": func(name string) bundle.Edit { return bundle.UndrainTarget{Target: name} },
}

var entryEdits = editsByAction{
	"drain":   func(name string) bundle.Edit { return bundle.DrainEntry{Entry: name} },
	"undrain": func(name string) bundle.Edit { return bundle.UndrainEntry{Entry: name} },
}

// edit returns an endpoint that applies an emergency edit without sign-off.
func (a *api) edit(actions editsByAction) endpoint {
	return func(r *http.Request) (response, error) {
		newEdit, found := actions[r.PathValue("action")]
		if !found {
			return response{}, rollout.ErrNotFound
		}
		raw, err := readBody(r)
		if err != nil {
			return response{}, err
		}
		body, err := decodeEditBody(raw)
		if err != nil {
			return response{}, err
		}
		base := rollout.AnyVersion
		if body.Base != nil {
			base = *body.Base
		}
		emergencyEdit := newEdit(r.PathValue("name"))
		accepted, err := a.options.Editor.Edit(r.Context(), operatorOf(r), base, emergencyEdit)
		return ok(accepted), err
	}
}
