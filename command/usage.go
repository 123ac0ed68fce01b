package command

// usageError ends the program with ExitUsage: nothing was tried.
func usageError(err error) error {
	return &exitError{code: ExitUsage, err: err}
}
