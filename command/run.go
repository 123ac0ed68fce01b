package command

import (
	"errors"
	"fmt"
	"io"

	flags "github.com/jessevdk/go-flags"
)

// IO holds the output streams of a command.
type IO struct {
	Out io.Writer
	Err io.Writer
}

// Run parses args, runs the chosen subcommand and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	streams := &IO{Out: out, Err: errOut}
	parser := flags.NewNamedParser("figring", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "dispatcher for sub-second tasks"
	examples, err := register(parser, streams)
	if err != nil {
		fmt.Fprintln(errOut, "figring:", err)
		return ExitUsage
	}
	_, err = parser.ParseArgs(args)
	if err == nil {
		return ExitOK
	}
	var flagsErr *flags.Error
	if !errors.As(err, &flagsErr) {
		fmt.Fprintln(errOut, "figring:", err)
		return exitCode(err)
	}
	if flagsErr.Type == flags.ErrHelp {
		printHelp(out, flagsErr.Message, activeExamples(parser, examples))
		return ExitOK
	}
	fmt.Fprintln(errOut, "figring:", flagsErr.Message)
	return ExitUsage
}

// printHelp prints a help page, followed by its examples and the exit codes.
func printHelp(out io.Writer, page, examples string) {
	fmt.Fprintln(out, page)
	if examples != "" {
		fmt.Fprintln(out, examples)
		fmt.Fprintln(out)
	}
	fmt.Fprint(out, exitCodesHelp)
}
