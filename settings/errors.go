package settings

import "fmt"

// Error says which setting in which file is wrong and what is allowed there.
type Error struct {
	File string
	// Field is the path of the setting in JSON; empty for the whole file.
	Field string
	// Reason says what the setting may hold.
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.File, e.Field, e.Reason)
}
