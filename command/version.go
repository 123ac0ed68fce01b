package command

import (
	"fmt"
	"runtime"
)

// Version is the version of figring in this source tree.
const Version = "0.1.0-dev"

const versionLong = `Prints the version of the binary.

Example:
  figring version`

type versionCommand struct {
	streams *IO
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	fmt.Fprintf(c.streams.Out, "figring %s (%s)\n", Version, runtime.Version())
	return nil
}
