package settings

import (
	"encoding"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// checkType checks that a decoded JSON value fits the Go type want. The errors of
// the JSON decoder don't include the path of an unknown field or a wrong value.
func checkType(path string, value any, want reflect.Type) error {
	if reflect.PointerTo(want).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		return checkText(path, value, want)
	}
	switch want.Kind() {
	case reflect.Struct:
		return checkObject(path, value, want)
	case reflect.Slice:
		return checkList(path, value, want)
	default:
		return checkScalar(path, value, want)
	}
}

func checkText(path string, value any, want reflect.Type) error {
	text, ok := value.(string)
	if !ok {
		return &Error{Field: path, Reason: "want a string"}
	}
	into := reflect.New(want).Interface().(encoding.TextUnmarshaler)
	if err := into.UnmarshalText([]byte(text)); err != nil {
		return &Error{Field: path, Reason: err.Error()}
	}
	return nil
}

func checkObject(path string, value any, want reflect.Type) error {
	object, ok := value.(map[string]any)
	if !ok {
		return &Error{Field: path, Reason: "want an object"}
	}
	known := fieldTypes(want)
	for _, name := range slices.Sorted(maps.Keys(object)) {
		field := joinPath(path, name)
		wanted, ok := known[name]
		if !ok {
			return &Error{Field: field, Reason: fmt.Sprintf("unknown setting, want one of %q", slices.Sorted(maps.Keys(known)))}
		}
		if err := checkType(field, object[name], wanted); err != nil {
			return err
		}
	}
	return nil
}

func checkList(path string, value any, want reflect.Type) error {
	list, ok := value.([]any)
	if !ok {
		return &Error{Field: path, Reason: "want a list"}
	}
	for i, item := range list {
		if err := checkType(fmt.Sprintf("%s[%d]", path, i), item, want.Elem()); err != nil {
			return err
		}
	}
	return nil
}

func checkScalar(path string, value any, want reflect.Type) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return &Error{Field: path, Reason: err.Error()}
	}
	if value != nil && json.Unmarshal(raw, reflect.New(want).Interface()) == nil {
		return nil
	}
	return &Error{Field: path, Reason: fmt.Sprintf("want a value of type %s, not %s", want.Kind(), raw)}
}

// fieldTypes maps the JSON names of a struct's fields, including embedded ones, to
// their types.
func fieldTypes(want reflect.Type) map[string]reflect.Type {
	known := make(map[string]reflect.Type, want.NumField())
	for i := range want.NumField() {
		field := want.Field(i)
		if field.Anonymous {
			maps.Copy(known, fieldTypes(field.Type))
			continue
		}
		if name := jsonName(field); name != "" {
			known[name] = field.Type
		}
	}
	return known
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
