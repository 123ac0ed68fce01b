package bundle

import (
	"fmt"
	"reflect"
	"slices"

	"github.com/figring/figring/model"
)

// Edit is a single typed change to a bundle.
type Edit interface {
	// Emergency reports whether the edit needs no second operator.
	Emergency() bool
	// TakesOutOfService reports whether the edit only takes something out of
	// service. Such an edit can be applied to any version. An edit that puts
	// something back into service must apply to the version that its operator
	// has seen, so that it does not undo another operator's change.
	TakesOutOfService() bool
	// apply changes b, which must share no memory with another bundle.
	apply(b *model.Bundle)
	// check returns an error if a value of the edit is unknown or invalid.
	check(rules Rules) error
}

// ApplyEdit returns the bundle that results from the edit of current, and whether
// it differs from current. An edit that changes nothing keeps the version.
func ApplyEdit(current model.Bundle, edit Edit, rules Rules) (model.Bundle, bool, error) {
	if err := edit.check(rules); err != nil {
		return current, false, err
	}
	base := normalise(current)
	next := normalise(current)
	edit.apply(&next)
	next = normalise(next)
	if reflect.DeepEqual(base, next) {
		return current, false, nil
	}
	if err := validateNext(next, edit, rules); err != nil {
		return current, false, err
	}
	next.Version = current.Version + 1
	return next, true, nil
}

// validateNext validates the whole bundle. After an emergency edit it checks only
// the lengths of the lists, because an invalid value that was in the bundle
// before must not prevent an operator from closing a failing zone.
func validateNext(next model.Bundle, edit Edit, rules Rules) error {
	if !edit.Emergency() {
		return rules.Validate(next)
	}
	for _, names := range [][]string{next.ClosedZones, next.DrainedTargets, next.DrainedEntries} {
		if len(names) > MaxNames {
			return &InvalidError{Field: "names", Reason: fmt.Sprintf("at most %d names", MaxNames)}
		}
	}
	return nil
}

// addName appends name unless names contains it.
func addName(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

// removeName deletes name from names in place.
func removeName(names []string, name string) []string {
	return slices.DeleteFunc(names, func(existing string) bool { return existing == name })
}
