package command

import (
	"errors"
	"fmt"
	"io"

	flags "github.com/jessevdk/go-flags"
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

// IO holds the streams of a command.
type IO struct {
	Out io.Writer
	Err io.Writer
}

// Run parses args, runs the chosen subcommand and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	streams := &IO{Out: out, Err: errOut}
	parser := flags.NewNamedParser("figring", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "dispatcher for sub-second tasks"
	if err := register(parser, streams); err != nil {
		fmt.Fprintln(errOut, "figring:", err)
		return ExitUsage
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return report(err, streams)
	}
	return ExitOK
}

// exitError is an error that ends the program with a code of its own.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func report(err error, streams *IO) int {
	var fromFlags *flags.Error
	if errors.As(err, &fromFlags) {
		if fromFlags.Type == flags.ErrHelp {
			fmt.Fprintln(streams.Out, fromFlags.Message)
			return ExitOK
		}
		fmt.Fprintln(streams.Err, "figring:", fromFlags.Message)
		return ExitUsage
	}
	fmt.Fprintln(streams.Err, "figring:", err)
	var withCode *exitError
	if errors.As(err, &withCode) {
		return withCode.code
	}
	return ExitFailed
}
