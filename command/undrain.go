package command

import "github.com/figring/figring/operatorclient"

const undrainTargetLong = `Lets a drained minion take work again, by the name of the sidecar beside it.

Examples:
  figring undrain target sidecar-3`

const undrainEntryLong = `Lets an entry of that name run again. It doesn't start one.

Examples:
  figring undrain entry entry-1`

func undrainCommands(streams *IO) subcommand {
	return subcommand{
		name: "undrain", short: "Take back a drain",
		long: "Takes back the drain of a minion or an entry.\n\nExamples:\n  figring undrain target sidecar-3\n  figring undrain entry entry-1",
		children: []subcommand{
			{name: "target", short: "Let a minion take work again", long: undrainTargetLong,
				data: &editCommand{streams: streams, activity: "undraining target", edit: (*operatorclient.Client).UndrainTarget}},
			{name: "entry", short: "Let an entry run again", long: undrainEntryLong,
				data: &editCommand{streams: streams, activity: "undraining entry", edit: (*operatorclient.Client).UndrainEntry}},
		},
	}
}
