package command

import (
	"fmt"
	"io"
	"os"

	"github.com/figring/figring/explain"
)

const explainLong = `Reads the logs of dispatchers and executors, from files or from standard input, and prints the events of one request in order of time: the decisions, their inputs, and how the processes involved saw the state of the system meanwhile. The request is identified by its own id or by the id of its job. With --summary it counts log lines by kind and reason instead. The exit code is 1 if no log mentions the request.

Examples:
  figring explain --id 5c0e7a21d94b36f8 entry-1.log side-*.log
  figring explain --summary < all.log`

type explainCommand struct {
	streams *IO
	in      io.Reader
	outputFlags
	ID      string `long:"id" value-name:"ID" description:"id of a request or of its job"`
	Summary bool   `long:"summary" description:"count log lines by kind and reason"`
	Args    struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	if (c.ID == "") == !c.Summary {
		return usageError(fmt.Errorf("set either --id or --summary"))
	}
	lines, err := c.read()
	if err != nil {
		return err
	}
	if c.Summary {
		return c.summarize(lines)
	}
	story, ok := explain.BuildTimeline(lines, c.ID)
	if !ok {
		return fmt.Errorf("none of %d log lines mentions %s", len(lines), c.ID)
	}
	return c.print(c.streams.Out, story, func(out io.Writer) {
		for _, line := range story.Lines {
			fmt.Fprintln(out, line)
		}
		fmt.Fprintf(out, "job %s: %s\n", story.Job, story.Cause)
	})
}

// summarize prints the number of lines of each kind and reason.
func (c *explainCommand) summarize(lines []explain.Line) error {
	counts := explain.Summarize(lines)
	return c.print(c.streams.Out, counts, func(out io.Writer) {
		writeRow(out, "COUNT", "EVENT", "REASON")
		for _, count := range counts {
			writeRow(out, count.Count, count.Kind, count.Reason)
		}
	})
}

// read parses the log lines of all files, or of standard input without files.
func (c *explainCommand) read() ([]explain.Line, error) {
	if len(c.Args.Files) == 0 {
		return explain.Read(c.in)
	}
	var all []explain.Line
	for _, name := range c.Args.Files {
		file, err := os.Open(name)
		if err != nil {
			return nil, usageError(err)
		}
		lines, err := explain.Read(file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}
