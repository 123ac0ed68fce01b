package command

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// outputTable and outputJSON are the output formats, the values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// outputFlags select the output format of a command.
type outputFlags struct {
	Output string `long:"output" choice:"table" choice:"json" default:"table" description:"output format: a table for people or JSON for scripts"`
}

// print writes value as JSON, or calls table to write it with aligned columns.
func (f *outputFlags) print(out io.Writer, value any, table func(io.Writer)) error {
	if f.Output == outputJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	tableWriter := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	table(tableWriter)
	return tableWriter.Flush()
}

// columnPadding is the number of spaces between two columns.
const columnPadding = 2

// writeRow writes one row of a table, with its cells separated by tabs.
func writeRow(out io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(out, "\t")
		}
		fmt.Fprint(out, cell)
	}
	fmt.Fprintln(out)
}

// yesNo returns "yes" or "no".
func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
