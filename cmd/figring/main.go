// Command figring is the one binary of the dispatcher: every role and every
// tool for people is a subcommand of it.
package main

import (
	_ "net" // built with the tag netcgo, it links the program to the C library
	"os"

	"github.com/figring/figring/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
