package command

import (
	"context"
	"io"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/operatorclient"
)

const bundleListLong = `Lists the proposals, oldest first.

Examples:
  figring bundle list
  figring bundle list --from 0197f0a2-0000-7000-8000-000000000001`

type bundleListCommand struct {
	streams *IO
	operatorFlags
	From string `long:"from" value-name:"ID" description:"first proposal to list"`
}

// Execute implements flags.Commander.
func (c *bundleListCommand) Execute([]string) error {
	return callAndPrint(&c.operatorFlags, c.streams, "reading the proposals", func(ctx context.Context, client *operatorclient.Client) ([]bundle.Proposal, error) {
		return client.Proposals(ctx, c.From)
	}, func(proposals []bundle.Proposal) func(io.Writer) {
		return func(out io.Writer) { writeProposals(out, proposals) }
	})
}
