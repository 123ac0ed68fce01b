package command

import "github.com/figring/figring/operatorclient"

const zoneCloseLong = `Takes an availability zone out. One operator is enough. No task starts there
from the time at which the change is in force everywhere, at most 2.75 s after
it was accepted; the command waits for that. What runs there is finished.

Examples:
  export FIGRING_OPERATOR_TOKEN=anna-token
  figring zone close garching
  figring zone close --base 7 --wait 30s garching`

const zoneOpenLong = `Takes an availability zone back in. When another change comes in between, the
command is refused with version_conflict: look again and repeat it.

Examples:
  figring zone open garching`

func zoneCommands(streams *IO) subcommand {
	return subcommand{
		name: "zone", short: "Take an availability zone out or in",
		long: "Takes an availability zone out or in, or lists all.\n\nExamples:\n  figring zone close garching\n  figring zone list",
		children: []subcommand{
			{name: "close", short: "Take an availability zone out", long: zoneCloseLong,
				data: &editCommand{streams: streams, activity: "closing zone", edit: (*operatorclient.Client).CloseZone}},
			{name: "open", short: "Take an availability zone back in", long: zoneOpenLong,
				data: &editCommand{streams: streams, activity: "opening zone", edit: (*operatorclient.Client).OpenZone}},
			{name: "list", short: "List the availability zones", long: zoneListLong, data: &zoneListCommand{streams: streams}},
		},
	}
}
