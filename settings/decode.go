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

// MaxFileBytes bounds the size of a settings file.
const MaxFileBytes = 8 << 20

// load reads the file into target, which holds the defaults, and checks it.
func load(path string, target any) error {
	raw, err := readFile(path)
	if err != nil {
		return &Error{File: path, Reason: err.Error()}
	}
	return withFile(path, decode(raw, target))
}

// completer are settings that check their fields against each other and resolve
// the files that they name, which are relative to the directory.
type completer[S any] interface {
	*S
	complete(dir string) error
}

// loadAndComplete reads and checks settings over their defaults.
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

// withFile adds the file's name to an Error.
func withFile(path string, err error) error {
	var settingErr *Error
	if errors.As(err, &settingErr) {
		settingErr.File = path
	}
	return err
}

// decode reads JSON with comments into target. Its errors are of type *Error.
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
