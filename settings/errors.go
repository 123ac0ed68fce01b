package settings

import "fmt"

// Error reports an invalid setting or a settings file that can't be read.
type Error struct {
	File string
	// Field is the JSON path of the setting, or empty for the file as a whole.
	Field string
	// Reason says what is wrong or what the setting may hold.
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.File, e.Field, e.Reason)
}
