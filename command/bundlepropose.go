package command

import (
	"context"
	"io"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/operatorclient"
	"github.com/figring/figring/settings"
)

const bundleProposeLong = `Proposes a bundle from a file of JSON with comments. Its "version" must be the
version in force, which it is to replace. If another version is in force, the
proposal is refused with version_conflict.

Examples:
  figring bundle propose examples/settings/bundle.jsonc
  figring bundle propose --output json bundle.jsonc`

type bundleProposeCommand struct {
	streams *IO
	operatorFlags
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *bundleProposeCommand) Execute([]string) error {
	newBundle, err := settings.ReadBundle(c.Args.File)
	if err != nil {
		return usageError(err)
	}
	return callAndPrint(&c.operatorFlags, c.streams, "proposing a bundle", func(ctx context.Context, client *operatorclient.Client) (bundle.Proposal, error) {
		return client.Propose(ctx, newBundle)
	}, proposalTable)
}

// proposalTable returns a function that writes one proposal as a table.
func proposalTable(proposal bundle.Proposal) func(io.Writer) {
	return func(out io.Writer) { writeProposals(out, []bundle.Proposal{proposal}) }
}

// writeProposals writes a table with one row per proposal.
func writeProposals(out io.Writer, proposals []bundle.Proposal) {
	writeRow(out, "PROPOSAL", "BASE", "STATE", "PROPOSED BY", "SIGNED OFF BY", "ROLLED OUT BY", "REJECTED BY")
	for _, proposal := range proposals {
		writeRow(out, proposal.ID, proposal.Base, proposal.State, proposal.ProposedBy, proposal.SignedOffBy, proposal.RolledOutBy, proposal.RejectedBy)
	}
}

// proposalIDArgument is the positional argument that names a proposal.
type proposalIDArgument struct {
	ID string `positional-arg-name:"ID" required:"true"`
}
