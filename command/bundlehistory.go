package command

import (
	"context"
	"io"
	"time"

	"github.com/figring/figring/operatorclient"
	"github.com/figring/figring/rollout"
)

const bundleHistoryLong = `Lists the versions that have been in force, each with its operator and change.

Examples:
  figring bundle history
  figring bundle history --from 12 --output json`

type bundleHistoryCommand struct {
	streams *IO
	operatorFlags
	From int64 `long:"from" value-name:"VERSION" default:"0" description:"first version to list"`
}

// Execute implements flags.Commander.
func (c *bundleHistoryCommand) Execute([]string) error {
	return callAndPrint(&c.operatorFlags, c.streams, "reading the bundle history", func(ctx context.Context, client *operatorclient.Client) ([]rollout.HistoryEntry, error) {
		return client.History(ctx, c.From)
	}, historyTable)
}

// historyTable returns a function that writes the bundle history as a table.
func historyTable(entries []rollout.HistoryEntry) func(io.Writer) {
	return func(out io.Writer) {
		writeRow(out, "VERSION", "AT", "OPERATOR", "CHANGE", "PROPOSAL")
		for _, entry := range entries {
			writeRow(out, entry.Version, entry.At.Format(time.RFC3339), entry.Operator, entry.Change, entry.Proposal)
		}
	}
}
