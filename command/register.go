package command

import (
	"os"

	flags "github.com/jessevdk/go-flags"
)

// subcommand describes one entry of the command line.
type subcommand struct {
	name  string
	short string
	long  string
	data  any
}

// subcommands lists every subcommand in the order of the help page.
func subcommands(streams *IO) []subcommand {
	return []subcommand{
		{"version", "Print the version", "Prints the version of the binary.\n\nExample: figring version", &versionCommand{streams: streams}},
		{"entry", "Run an entry", entryHelp, &entryCommand{streams: streams}},
		{"sidecar", "Run the sidecar beside a minion", sidecarHelp, &sidecarCommand{streams: streams}},
		{"standin-platform", "Serve a stand-in for the platform", standinPlatformHelp, &standinPlatformCommand{streams: streams}},
		{"standin-minion", "Serve a stand-in for a minion", standinMinionHelp, &standinMinionCommand{streams: streams}},
		{"validate", "Check settings files", validateLong, &validateCommand{streams: streams}},
		{"load", "Play seeded load against a running system", loadHelp, &loadCommand{streams: streams}},
		{"measure", "Measure a system of this binary on the loopback", measureHelp, &measureCommand{streams: streams}},
		{"token", "Print the hash of a bearer token", tokenLong, &tokenCommand{streams: streams, in: os.Stdin}},
	}
}

func register(parser *flags.Parser, streams *IO) error {
	for _, one := range subcommands(streams) {
		if _, err := parser.AddCommand(one.name, one.short, one.long, one.data); err != nil {
			return err
		}
	}
	return nil
}
