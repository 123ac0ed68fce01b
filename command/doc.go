// Package command implements figring's command line, with one file for each
// subcommand.
package command
