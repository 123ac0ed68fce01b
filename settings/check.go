package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"unicode"

	"github.com/go-playground/validator/v10"
)

// namePattern matches valid names of processes, zones, racks and workers. Names
// are parts of table keys and URL paths.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

var fieldValidator = newFieldValidator()

func newFieldValidator() *validator.Validate {
	rules := validator.New(validator.WithRequiredStructEnabled())
	rules.RegisterTagNameFunc(jsonName)
	mustRegisterRule(rules.RegisterValidation("name", func(field validator.FieldLevel) bool {
		return namePattern.MatchString(field.Field().String())
	}))
	mustRegisterRule(rules.RegisterValidation("listen", func(field validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(field.Field().String())
		return err == nil
	}))
	mustRegisterRule(rules.RegisterValidation("address", func(field validator.FieldLevel) bool {
		address, err := netip.ParseAddrPort(field.Field().String())
		return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
	}))
	return rules
}

// mustRegisterRule panics if a rule can't be registered. No input causes that.
func mustRegisterRule(err error) {
	if err != nil {
		panic(err)
	}
}

// checkFields validates each field with the rule in its validate tag and reports
// the first failure.
func checkFields(target any) error {
	err := fieldValidator.Struct(target)
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return err
	}
	first := failures[0]
	return &Error{Field: settingPath(first.Namespace()), Reason: failureReason(first)}
}

// settingPath converts the validator's namespace of a field to the path of the
// setting in the file. It drops the names of the settings type and of embedded
// types, which start with a capital.
func settingPath(namespace string) string {
	parts := strings.Split(namespace, ".")
	inFile := slices.DeleteFunc(parts, func(part string) bool { return unicode.IsUpper(rune(part[0])) })
	return strings.Join(inFile, ".")
}

// failureReason describes a failed validation as the Reason of an Error.
func failureReason(failure validator.FieldError) string {
	switch failure.Tag() {
	case "required", "required_with":
		return "must be set"
	case "oneof":
		return fmt.Sprintf("%q is not one of: %s", failure.Value(), failure.Param())
	case "min":
		return fmt.Sprintf("%v is too small, want at least %s", failure.Value(), failure.Param())
	case "max":
		return fmt.Sprintf("%v is too large, want at most %s", failure.Value(), failure.Param())
	case "name":
		return fmt.Sprintf("%q is not a name: 1 to 64 letters, digits, dots, dashes or underscores", failure.Value())
	case "listen":
		return fmt.Sprintf("%q is not an IP address with a port, such as \"127.0.0.1:8080\"", failure.Value())
	case "address":
		return fmt.Sprintf("%q is not an IP address with a port that other processes can dial", failure.Value())
	case "unique":
		return "contains a duplicate item"
	default:
		return fmt.Sprintf("%q fails the validation rule %s %s", failure.Value(), failure.Tag(), failure.Param())
	}
}
