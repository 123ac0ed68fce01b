package command

import (
	"os"

	flags "github.com/jessevdk/go-flags"
)

// rootExamples are the examples on the top-level help page.
const rootExamples = `Examples:
  figring demo --job examples/jobs/nomination-desk.json
  figring submit --help
  figring bundle propose --help`

// subcommands returns all top-level subcommands in the order of the help page.
func subcommands(streams *IO) []subcommand {
	return []subcommand{
		{name: "demo", short: "Run a whole system in one process", long: demoLong, data: &demoCommand{streams: streams}},
		{name: "entry", short: "Run an entry", long: entryLong, data: &entryCommand{streams: streams}},
		{name: "sidecar", short: "Run the sidecar beside a minion", long: sidecarLong, data: &sidecarCommand{streams: streams}},
		{name: "dispatcher", short: "Run an entry for minions with leases", long: dispatcherLong, data: &dispatcherCommand{streams: streams}},
		{name: "executor", short: "Run the sidecar beside a minion with leases", long: executorLong, data: &executorCommand{streams: streams}},
		{name: "standin-platform", short: "Serve a stand-in for the platform", long: standinPlatformLong, data: &standinPlatformCommand{streams: streams}},
		{name: "standin-minion", short: "Serve a stand-in for a minion", long: standinMinionLong, data: &standinMinionCommand{streams: streams}},
		{name: "submit", short: "Submit a job and print its answer", long: submitLong, data: &submitCommand{streams: streams}},
		{name: "show", short: "Show the state of a job", long: showLong, data: &showCommand{streams: streams}},
		{name: "cancel", short: "Cancel a job", long: cancelLong, data: &cancelCommand{streams: streams}},
		{name: "request", short: "Run a single request", long: requestLong, data: &requestCommand{streams: streams}},
		bundleCommands(streams),
		zoneCommands(streams),
		drainCommands(streams),
		undrainCommands(streams),
		callerCommands(streams),
		{name: "status", short: "Show the entries, sidecars, zones and the bundle", long: statusLong, data: &statusCommand{streams: streams}},
		{name: "load", short: "Generate seeded load against a running system", long: loadLong, data: &loadCommand{streams: streams}},
		{name: "explain", short: "Show from the logs what happened to a request", long: explainLong, data: &explainCommand{streams: streams, in: os.Stdin}},
		{name: "where", short: "Show where a job would be placed now", long: whereLong, data: &whereCommand{streams: streams}},
		{name: "validate", short: "Check settings files", long: validateLong, data: &validateCommand{streams: streams}},
		{name: "token", short: "Print the hash of a bearer token", long: tokenLong, data: &tokenCommand{streams: streams, in: os.Stdin}},
		{name: "version", short: "Print the version", long: versionLong, data: &versionCommand{streams: streams}},
	}
}

// register adds every subcommand to parser and returns the examples of each.
func register(parser *flags.Parser, streams *IO) (map[*flags.Command]string, error) {
	examples := map[*flags.Command]string{parser.Command: rootExamples}
	for _, cmd := range subcommands(streams) {
		if err := cmd.addTo(parser, examples); err != nil {
			return nil, err
		}
	}
	return examples, nil
}
