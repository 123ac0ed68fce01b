package settings

import (
	"errors"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
)

// LoadBundle reads a bundle from a file, as operators keep it before they
// propose it, and checks it against the zones that exist.
func LoadBundle(path string, rules bundle.Rules) (model.Bundle, error) {
	var loaded model.Bundle
	if err := load(path, &loaded); err != nil {
		return model.Bundle{}, err
	}
	if loaded.Version < 0 {
		return model.Bundle{}, &Error{File: path, Field: "version", Allowed: "want at least 0"}
	}
	err := rules.Validate(loaded)
	var invalid *bundle.InvalidError
	if errors.As(err, &invalid) {
		return model.Bundle{}, &Error{File: path, Field: invalid.Field, Allowed: invalid.Allowed}
	}
	return loaded, err
}
