package command

import "github.com/figring/figring/operatorclient"

const undrainTargetLong = `Allows the dispatch of tasks to a drained minion again, given the name of its
sidecar.

Examples:
  figring undrain target sidecar-3`

const undrainEntryLong = `Allows an entry of that name to run again. The command doesn't start one.

Examples:
  figring undrain entry entry-1`

func undrainCommands(streams *IO) subcommand {
	return subcommand{
		name: "undrain", short: "Undo a drain",
		long: "Undoes the drain of a minion or an entry.\n\nExamples:\n  figring undrain target sidecar-3\n  figring undrain entry entry-1",
		children: []subcommand{
			{name: "target", short: "Allow dispatching to a minion again", long: undrainTargetLong,
				data: &editCommand{streams: streams, activity: "undraining target", edit: (*operatorclient.Client).UndrainTarget}},
			{name: "entry", short: "Allow an entry to run again", long: undrainEntryLong,
				data: &editCommand{streams: streams, activity: "undraining entry", edit: (*operatorclient.Client).UndrainEntry}},
		},
	}
}
