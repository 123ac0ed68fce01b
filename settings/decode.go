package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"reflect"

	"github.com/tailscale/hujson"
)

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 8 << 20

// load reads the file into target, which holds the defaults, and validates each
// field.
func load(path string, target any) error {
	raw, err := readFile(path)
	if err != nil {
		return &Error{File: path, Reason: err.Error()}
	}
	return withFile(path, decode(raw, target))
}

// completer is a pointer to settings that validate their fields against each
// other, set derived fields and resolve the files that they name. File names are
// relative to dir.
type completer[S any] interface {
	*S
	complete(dir string) error
}

// loadAndComplete reads settings over their defaults, validates and completes
// them.
func loadAndComplete[S any, P completer[S]](path string, defaults S) (S, error) {
	loaded := defaults
	if err := load(path, &loaded); err != nil {
		return *new(S), err
	}
	if err := P(&loaded).complete(filepath.Dir(path)); err != nil {
		return *new(S), withFile(path, err)
	}
	return loaded, nil
}

func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	raw, err := io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
	if err == nil && len(raw) > MaxFileBytes {
		err = errors.New("the file is larger than 8 MiB")
	}
	return raw, err
}

// withFile sets the file name of err if it is an *Error.
func withFile(path string, err error) error {
	var settingErr *Error
	if errors.As(err, &settingErr) {
		settingErr.File = path
	}
	return err
}

// decode reads JSON with comments into target and validates each field. Its errors
// are of type *Error.
func decode(raw []byte, target any) error {
	standard, err := hujson.Standardize(raw)
	if err != nil {
		return &Error{Reason: err.Error()}
	}
	var tree any
	if err := json.Unmarshal(standard, &tree); err != nil {
		return &Error{Reason: err.Error()}
	}
	if err := checkType("", tree, reflect.TypeOf(target).Elem()); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return &Error{Reason: err.Error()}
	}
	return checkFields(target)
}
