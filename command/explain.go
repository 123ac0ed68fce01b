package command

import (
	"fmt"
	"io"
	"os"

	"github.com/figring/figring/explain"
)

const explainLong = `Reads the logs of dispatchers and executors, from files or from standard input, and tells the story of one request in order of time: what was decided, on what, and what the processes concerned believed meanwhile. The request is named by its own id or by its job's. With --summary it counts lines by kind and reason instead. The exit code is 1 when no log knows the request.

Examples:
  figring explain --id 5c0e7a21d94b36f8 entry-1.log side-*.log
  figring explain --summary < all.log`

type explainCommand struct {
	streams *IO
	in      io.Reader
	outputFlags
	ID      string `long:"id" value-name:"ID" description:"the id of a request or of its job"`
	Summary bool   `long:"summary" description:"count lines by kind and reason"`
	Args    struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	if (c.ID == "") == !c.Summary {
		return usageError(fmt.Errorf("give either --id or --summary"))
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
		return fmt.Errorf("no line of %d tells of %s", len(lines), c.ID)
	}
	return c.print(c.streams.Out, story, func(out io.Writer) {
		for _, line := range story.Lines {
			fmt.Fprintln(out, line)
		}
		fmt.Fprintf(out, "job %s: %s\n", story.Job, story.Cause)
	})
}

func (c *explainCommand) summarize(lines []explain.Line) error {
	counts := explain.Summarize(lines)
	return c.print(c.streams.Out, counts, func(out io.Writer) {
		row(out, "COUNT", "EVENT", "REASON")
		for _, count := range counts {
			row(out, count.Count, count.Kind, count.Reason)
		}
	})
}

// read reads all files, or standard input when there are none.
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
