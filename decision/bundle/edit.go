package bundle

import (
	"fmt"
	"reflect"
	"slices"

	"github.com/figring/figring/model"
)

// Edit is one typed change of a bundle.
type Edit interface {
	// Emergency reports whether the edit is accepted without a second operator.
	Emergency() bool
	// TakesOutOfService reports whether the edit only takes something out of service.
	// Such an edit is right on top of any version; one that puts something
	// back must not undo a colleague's change that its operator hasn't seen.
	TakesOutOfService() bool
	// apply changes b, which shares no memory with another bundle.
	apply(b *model.Bundle)
	// check reports an edit that names something unknown.
	check(rules Rules) error
}

// ApplyEdit returns the bundle that follows current by the edit, and whether it
// differs. An edit that changes nothing keeps the version.
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

// validateNext checks the whole bundle, except after an emergency edit: a fault
// that stood in the bundle before must not keep a failing zone in service.
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

func with(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(names, func(one string) bool { return one == name })
}
