package settings

import (
	"errors"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
)

// ReadBundle reads a bundle from a file for an operator to propose. Its errors
// are of type *Error.
func ReadBundle(path string) (model.Bundle, error) {
	var loaded model.Bundle
	if err := load(path, &loaded); err != nil {
		return model.Bundle{}, err
	}
	if loaded.Version < 0 {
		return model.Bundle{}, &Error{File: path, Field: "version", Reason: "want at least 0"}
	}
	return loaded, nil
}

// LoadBundle reads a bundle from a file and validates it with rules, which hold
// the existing zones. An invalid bundle is reported as an *Error.
func LoadBundle(path string, rules bundle.Rules) (model.Bundle, error) {
	loaded, err := ReadBundle(path)
	if err != nil {
		return model.Bundle{}, err
	}
	err = rules.Validate(loaded)
	var invalid *bundle.InvalidError
	if errors.As(err, &invalid) {
		return model.Bundle{}, &Error{File: path, Field: invalid.Field, Reason: invalid.Reason}
	}
	return loaded, err
}
