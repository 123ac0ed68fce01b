package command

import "github.com/figring/figring/operatorclient"

const zoneCloseLong = `Closes an availability zone. It needs no sign-off by a second operator. No task
starts in the zone once the change is in force everywhere, at most 2.75 s after it
was accepted; the command waits for that. Tasks that run in the zone finish.

Examples:
  export FIGRING_OPERATOR_TOKEN=anna-token
  figring zone close garching
  figring zone close --base 7 --wait 30s garching`

const zoneOpenLong = `Reopens a closed availability zone. If another change is accepted meanwhile, the
command is refused with version_conflict: check the state and repeat it.

Examples:
  figring zone open garching`

func zoneCommands(streams *IO) subcommand {
	return subcommand{
		name: "zone", short: "Close, open or list availability zones",
		long: "Closes or opens an availability zone, or lists all.\n\nExamples:\n  figring zone close garching\n  figring zone list",
		children: []subcommand{
			{name: "close", short: "Close an availability zone", long: zoneCloseLong,
				data: &editCommand{streams: streams, activity: "closing zone", edit: (*operatorclient.Client).CloseZone}},
			{name: "open", short: "Reopen an availability zone", long: zoneOpenLong,
				data: &editCommand{streams: streams, activity: "opening zone", edit: (*operatorclient.Client).OpenZone}},
			{name: "list", short: "List the availability zones", long: zoneListLong, data: &zoneListCommand{streams: streams}},
		},
	}
}
