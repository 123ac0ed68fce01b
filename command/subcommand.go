package command

import (
	"strings"

	flags "github.com/jessevdk/go-flags"
)

// examplesMarker marks the start of the examples in the long text of a subcommand.
const examplesMarker = "\nExample"

// subcommand describes one subcommand of the command line.
type subcommand struct {
	name  string
	short string
	// long is the text of the help page. The examples at its end are printed
	// verbatim, without line wrapping.
	long     string
	data     any
	children []subcommand
}

// commandParent is a parser or a command to which a subcommand can be added.
type commandParent interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}

// addTo adds the subcommand and its children to parent, and their examples to
// examples.
func (s subcommand) addTo(parent commandParent, examples map[*flags.Command]string) error {
	data := s.data
	if data == nil {
		data = &struct{}{}
	}
	long, examplesText, found := strings.Cut(s.long, examplesMarker)
	added, err := parent.AddCommand(s.name, s.short, strings.TrimSpace(long), data)
	if err != nil {
		return err
	}
	if found {
		examples[added] = strings.TrimPrefix(examplesMarker, "\n") + examplesText
	}
	for _, child := range s.children {
		if err := child.addTo(added, examples); err != nil {
			return err
		}
	}
	return nil
}

// activeExamples returns the examples of the subcommand that the parsed arguments
// selected.
func activeExamples(parser *flags.Parser, examples map[*flags.Command]string) string {
	active := parser.Command
	for active.Active != nil {
		active = active.Active
	}
	return examples[active]
}
