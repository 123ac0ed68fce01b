package command

import (
	"errors"

	"github.com/figring/figring/client"
	"github.com/figring/figring/model"
	"github.com/figring/figring/operatorclient"
)

// The exit codes of every subcommand.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command attempted its work and failed.
	ExitFailed = 1
	// ExitUsage means that the command line, an input file or the settings were
	// invalid and that nothing was attempted.
	ExitUsage = 2
	// ExitRefused means that figring refused the request. The printed problem code
	// says why.
	ExitRefused = 3
)

// exitCodesHelp is the section on exit codes of every help page.
const exitCodesHelp = `Exit codes:
  0  success
  1  failed: a job failed, an answer was lost, or a role ended with an error
  2  the command line, a file or the settings are invalid; nothing was attempted
  3  refused: nothing was run or changed; the printed code says why
`

// exitError is an error with the exit code that the program ends with.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// exitCode returns the exit code for a subcommand that returned err. A problem whose
// outcome is that nothing ran gives ExitRefused, but a cancelled job counts as failed.
func exitCode(err error) int {
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	if code, outcome := refusalOf(err); outcome == model.NotRun && code != model.CodeCancelled {
		return ExitRefused
	}
	return ExitFailed
}

// refusalOf returns the code and the outcome of the problem in err that the
// caller API or the operator API reported, or empty values if there is none.
func refusalOf(err error) (model.Code, model.Outcome) {
	var callerProblem *client.Problem
	if errors.As(err, &callerProblem) {
		return callerProblem.Code, callerProblem.Outcome
	}
	var operatorProblem *operatorclient.Problem
	if errors.As(err, &operatorProblem) {
		return operatorProblem.Code, operatorProblem.Outcome
	}
	return "", ""
}
