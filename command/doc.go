// Package command holds figring's command line: one file for each subcommand.
package command
