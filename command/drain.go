package command

import "github.com/figring/figring/operatorclient"

const drainTargetLong = `Lets a minion take no new work, by the name of the sidecar beside it. One
operator is enough. What runs there is finished; nothing is stopped.

Examples:
  figring drain target sidecar-3`

const drainEntryLong = `Makes an entry drain as on SIGTERM and end with exit code 0. While its name is
in the bundle, an entry that starts under it ends again at once: give its
successor another name, or undrain the name first.

Examples:
  figring drain entry entry-1 --operators http://127.0.0.1:8081 --operators http://127.0.0.1:8091`

func drainCommands(streams *IO) subcommand {
	return subcommand{
		name: "drain", short: "Drain a minion or an entry",
		long: "Drains a minion or an entry.\n\nExamples:\n  figring drain target sidecar-3\n  figring drain entry entry-1",
		children: []subcommand{
			{name: "target", short: "Let a minion take no new work", long: drainTargetLong,
				data: &editCommand{streams: streams, activity: "draining target", edit: (*operatorclient.Client).DrainTarget}},
			{name: "entry", short: "Make an entry drain and end", long: drainEntryLong,
				data: &editCommand{streams: streams, activity: "draining entry", edit: (*operatorclient.Client).DrainEntry}},
		},
	}
}
