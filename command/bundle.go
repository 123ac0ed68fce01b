package command

const bundleLong = `Manages bundles, the configuration that can change at run time. One operator
proposes a bundle, a second one signs it off, and either of them rolls it out.

Examples:
  figring bundle propose examples/settings/bundle.jsonc
  figring bundle sign-off 0197f0a2-0000-7000-8000-000000000001
  figring bundle roll-out 0197f0a2-0000-7000-8000-000000000001
  figring bundle history`

func bundleCommands(streams *IO) subcommand {
	return subcommand{
		name: "bundle", short: "Propose, sign off, roll out or show a bundle", long: bundleLong,
		children: []subcommand{
			{name: "propose", short: "Propose a bundle", long: bundleProposeLong, data: &bundleProposeCommand{streams: streams}},
			{name: "sign-off", short: "Sign off a proposal", long: bundleSignOffLong, data: &bundleSignOffCommand{streams: streams}},
			{name: "reject", short: "Reject a proposal", long: bundleRejectLong, data: &bundleRejectCommand{streams: streams}},
			{name: "roll-out", short: "Roll out a proposal that was signed off", long: bundleRollOutLong, data: &bundleRollOutCommand{streams: streams}},
			{name: "show", short: "Show the bundle in force or a proposal", long: bundleShowLong, data: &bundleShowCommand{streams: streams}},
			{name: "list", short: "List the proposals", long: bundleListLong, data: &bundleListCommand{streams: streams}},
			{name: "history", short: "List the versions that have been in force", long: bundleHistoryLong, data: &bundleHistoryCommand{streams: streams}},
		},
	}
}
