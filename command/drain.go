package command

import "github.com/figring/figring/operatorclient"

const drainTargetLong = `Stops the dispatch of new tasks to a minion, given the name of its sidecar. It
needs no sign-off by a second operator. Running tasks finish; none is stopped.

Examples:
  figring drain target sidecar-3`

const drainEntryLong = `Makes an entry drain as on SIGTERM and exit with code 0. As long as the bundle
lists its name as drained, a new entry of that name exits again immediately:
start the replacement under another name, or undrain the name first.

Examples:
  figring drain entry entry-1 --operators http://127.0.0.1:8081 --operators http://127.0.0.1:8091`

func drainCommands(streams *IO) subcommand {
	return subcommand{
		name: "drain", short: "Drain a minion or an entry",
		long: "Drains a minion or an entry.\n\nExamples:\n  figring drain target sidecar-3\n  figring drain entry entry-1",
		children: []subcommand{
			{name: "target", short: "Stop dispatching new tasks to a minion", long: drainTargetLong,
				data: &editCommand{streams: streams, activity: "draining target", edit: (*operatorclient.Client).DrainTarget}},
			{name: "entry", short: "Make an entry drain and exit", long: drainEntryLong,
				data: &editCommand{streams: streams, activity: "draining entry", edit: (*operatorclient.Client).DrainEntry}},
		},
	}
}
