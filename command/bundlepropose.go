package command

import (
	"context"
	"io"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/operatorclient"
	"github.com/figring/figring/settings"
)

const bundleProposeLong = `Proposes a bundle from a file, JSON with comments. Its "version" is the version
in force that it is to replace; it is refused with version_conflict when
another one is.

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
	next, err := settings.ReadBundle(c.Args.File)
	if err != nil {
		return usageError(err)
	}
	return ask(&c.operatorFlags, c.streams, "proposing a bundle", func(ctx context.Context, asked *operatorclient.Client) (bundle.Proposal, error) {
		return asked.Propose(ctx, next)
	}, proposalTable)
}

// proposalTable returns a writer of one proposal.
func proposalTable(one bundle.Proposal) func(io.Writer) {
	return func(out io.Writer) { proposalRows(out, []bundle.Proposal{one}) }
}

func proposalRows(out io.Writer, list []bundle.Proposal) {
	row(out, "PROPOSAL", "BASE", "STATE", "PROPOSED BY", "SIGNED OFF BY", "ROLLED OUT BY", "REJECTED BY")
	for _, one := range list {
		row(out, one.ID, one.Base, one.State, one.ProposedBy, one.SignedOffBy, one.RolledOutBy, one.RejectedBy)
	}
}

// idArgument is the identifier of a proposal on the command line.
type idArgument struct {
	ID string `positional-arg-name:"ID" required:"true"`
}
