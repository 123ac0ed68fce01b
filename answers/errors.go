package answers

import "errors"

// The errors of this package.
var (
	// ErrNotFound means that no stored answer has the job key.
	ErrNotFound = errors.New("answer not found")
	// ErrRead means that stored answers could not be read or deleted.
	ErrRead = errors.New("stored answers not accessible")
	// ErrCorrupt means that a stored object does not decode to a batch of answers.
	ErrCorrupt = errors.New("corrupt answers object")
)
