package command

// usageError wraps err so that the program exits with ExitUsage. It is for errors
// found before anything was attempted.
func usageError(err error) error {
	return &exitError{code: ExitUsage, err: err}
}
