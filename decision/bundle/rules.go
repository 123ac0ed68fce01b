package bundle

import (
	"errors"
	"fmt"
	"slices"

	"github.com/go-playground/validator/v10"

	"github.com/figring/figring/model"
)

// MaxNames bounds the length of each list of names in a bundle.
const MaxNames = 4096

// maxNameBytes bounds the length of the name of a sidecar, an entry or a zone.
const maxNameBytes = 128

var fieldValidator = validator.New(validator.WithRequiredStructEnabled())

// Rules validates bundles.
type Rules struct {
	// Zones lists the existing availability zones.
	Zones []string
}

// Validate returns an InvalidError for the first invalid field of the bundle.
func (r Rules) Validate(b model.Bundle) error {
	for i, zone := range b.ClosedZones {
		if err := r.checkZone(fmt.Sprintf("closedZones[%d]", i), zone); err != nil {
			return err
		}
	}
	if err := checkNames("closedZones", b.ClosedZones); err != nil {
		return err
	}
	if err := checkNames("drainedTargets", b.DrainedTargets); err != nil {
		return err
	}
	if err := checkNames("drainedEntries", b.DrainedEntries); err != nil {
		return err
	}
	if err := checkCallers(b.Callers); err != nil {
		return err
	}
	return checkFields("limits", b.Limits)
}

func (r Rules) checkZone(field, zone string) error {
	if slices.Contains(r.Zones, zone) {
		return nil
	}
	return &InvalidError{Field: field, Reason: fmt.Sprintf("unknown zone %q, want one of %q", zone, r.Zones)}
}

func checkNames(field string, names []string) error {
	if len(names) > MaxNames {
		return &InvalidError{Field: field, Reason: fmt.Sprintf("at most %d names", MaxNames)}
	}
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		path := fmt.Sprintf("%s[%d]", field, i)
		if err := checkName(path, name); err != nil {
			return err
		}
		if seen[name] {
			return &InvalidError{Field: path, Reason: fmt.Sprintf("%q stands twice", name)}
		}
		seen[name] = true
	}
	return nil
}

func checkName(field, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return &InvalidError{Field: field, Reason: fmt.Sprintf("a name of 1 to %d bytes", maxNameBytes)}
	}
	return nil
}

func checkCallers(callers []model.Caller) error {
	names := make(map[string]bool, len(callers))
	hashes := make(map[string]bool, len(callers))
	for i, caller := range callers {
		path := fmt.Sprintf("callers[%d]", i)
		if err := checkFields(path, caller); err != nil {
			return err
		}
		if names[caller.Name] {
			return &InvalidError{Field: path + ".name", Reason: fmt.Sprintf("%q stands twice", caller.Name)}
		}
		if caller.TokenHash != "" && hashes[caller.TokenHash] {
			return &InvalidError{Field: path + ".tokenHash", Reason: "a token of its own"}
		}
		names[caller.Name] = true
		hashes[caller.TokenHash] = true
	}
	return nil
}

// checkFields validates value by its struct tags and returns an InvalidError for
// the first invalid field.
func checkFields(path string, value any) error {
	err := fieldValidator.Struct(value)
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return err
	}
	first := failures[0]
	field := path + "." + lowerFirst(first.Field())
	return &InvalidError{Field: field, Reason: fmt.Sprintf("want %s %s", first.Tag(), first.Param())}
}

// lowerFirst returns the JSON name of a field whose name starts with an ASCII
// letter.
func lowerFirst(name string) string {
	return string(name[0]|0x20) + name[1:]
}
