// Command figring is the single binary of the dispatcher. Its subcommands run the
// server roles and the tools for callers and operators.
package main

import (
	_ "net" // with the build tag netcgo, links the program to the C library
	"os"

	"github.com/figring/figring/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
