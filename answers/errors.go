package answers

import "errors"

// The errors of this package.
var (
	// ErrNotFound means that no answer of the key was found.
	ErrNotFound = errors.New("answer not kept")
	// ErrRead means that the platform could not be read.
	ErrRead = errors.New("answers not accessible")
	// ErrCorrupt means that a stored object is not a group of answers.
	ErrCorrupt = errors.New("answers object corrupt")
)
