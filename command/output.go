package command

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// outputTable and outputJSON are the forms in which a command prints.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// outputFlags choose the form of what a command prints.
type outputFlags struct {
	Output string `long:"output" choice:"table" choice:"json" default:"table" description:"a table for people or JSON for scripts"`
}

// print writes value as JSON, or lets table write it.
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

// columnPadding is the space between two columns.
const columnPadding = 2

// writeRow writes one writeRow of a table.
func writeRow(out io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(out, "\t")
		}
		fmt.Fprint(out, cell)
	}
	fmt.Fprintln(out)
}

// yesNo returns a truth value for people.
func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
