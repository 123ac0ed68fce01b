package command

import (
	"errors"

	"github.com/figring/figring/client"
	"github.com/figring/figring/model"
	"github.com/figring/figring/operatorclient"
)

// The exit codes of every subcommand.
const (
	// ExitOK means that the command did what it was asked for.
	ExitOK = 0
	// ExitFailed means that the work was tried and failed.
	ExitFailed = 1
	// ExitUsage means that the command line or the settings were wrong and that
	// nothing was tried.
	ExitUsage = 2
	// ExitRefused means that figring refused the request; see the printed code.
	ExitRefused = 3
)

// exitCodesHelp tells the exit codes on the help page.
const exitCodesHelp = `Exit codes:
  0  done
  1  tried and failed: a job failed, an answer was lost, a role ended in error
  2  the command line, a file or the settings were wrong; nothing was tried
  3  refused: nothing was run or changed; the printed code says why
`

// exitError is an error that ends the program with a code of its own.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// exitCode returns the exit code of a subcommand that ended with err.
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

// refusalOf returns the code and the outcome of a refusal by one of the
// interfaces.
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
