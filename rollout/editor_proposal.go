package rollout

import (
	"context"
	"errors"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
	"github.com/figring/figring/platform"
)

// Propose stores a proposal to replace version base by next.
func (e *Editor) Propose(ctx context.Context, operator string, base int64, next model.Bundle) (bundle.Proposal, error) {
	current, _, err := e.store.current(ctx)
	if err != nil {
		return bundle.Proposal{}, err
	}
	proposal, err := bundle.Propose(e.options.NewID(), operator, base, current, next, e.options.Rules)
	if err != nil {
		return bundle.Proposal{}, err
	}
	return proposal, e.create(ctx, proposal)
}

// ProposeEdit stores a proposal to change the bundle in force by edit.
func (e *Editor) ProposeEdit(ctx context.Context, operator string, edit bundle.Edit) (bundle.Proposal, error) {
	current, _, err := e.store.current(ctx)
	if err != nil {
		return bundle.Proposal{}, err
	}
	next, _, err := bundle.Next(current, edit, e.options.Rules)
	if err != nil {
		return bundle.Proposal{}, err
	}
	proposal, err := bundle.Propose(e.options.NewID(), operator, current.Version, current, next, e.options.Rules)
	if err != nil {
		return bundle.Proposal{}, err
	}
	return proposal, e.create(ctx, proposal)
}

// create writes a new proposal. Its identifier is unique, so that the row's
// presence proves that the write took effect.
func (e *Editor) create(ctx context.Context, proposal bundle.Proposal) error {
	took := func(ctx context.Context) (bool, error) {
		_, _, err := e.store.proposal(ctx, proposal.ID)
		if errors.Is(err, ErrNotFound) {
			return false, nil
		}
		return err == nil, err
	}
	change := proposalWrite(proposal, 0)
	return e.store.commit(ctx, attempt{id: proposal.ID, txn: change.txn(), took: took})
}

// SignOff signs a proposal off.
func (e *Editor) SignOff(ctx context.Context, operator, id string) (bundle.Proposal, error) {
	attemptID := e.options.NewID()
	step := func(p bundle.Proposal) (bundle.Proposal, error) { return bundle.SignOff(p, operator, attemptID) }
	mine := func(p bundle.Proposal) bool { return p.SignOffAttempt == attemptID }
	return e.advance(ctx, id, attemptID, step, mine)
}

// Reject turns a proposal down.
func (e *Editor) Reject(ctx context.Context, operator, id string) (bundle.Proposal, error) {
	attemptID := e.options.NewID()
	step := func(p bundle.Proposal) (bundle.Proposal, error) { return bundle.Reject(p, operator, attemptID) }
	mine := func(p bundle.Proposal) bool { return p.RejectAttempt == attemptID }
	return e.advance(ctx, id, attemptID, step, mine)
}

// advance applies a step to a proposal by compare-and-set on its row. After a
// lost race the step is decided again on what the winner left.
func (e *Editor) advance(ctx context.Context, id, attemptID string, step func(bundle.Proposal) (bundle.Proposal, error), mine func(bundle.Proposal) bool) (bundle.Proposal, error) {
	took := func(ctx context.Context) (bool, error) {
		stored, _, err := e.store.proposal(ctx, id)
		return err == nil && mine(stored), err
	}
	for range maxOvertaken {
		stored, row, err := e.store.proposal(ctx, id)
		if err != nil {
			return bundle.Proposal{}, err
		}
		next, err := step(stored)
		if err != nil {
			return stored, err
		}
		change := proposalWrite(next, row)
		err = e.store.commit(ctx, attempt{id: attemptID, txn: change.txn(), took: took})
		if !errors.Is(err, errLost) {
			return next, err
		}
	}
	return bundle.Proposal{}, ErrBusy
}

// RollOut puts a proposal that was signed off in force. It fails with a
// ConflictError when another version came in force since it was proposed.
func (e *Editor) RollOut(ctx context.Context, operator, id string) (Accepted, error) {
	for range maxOvertaken {
		stored, proposalRow, err := e.store.proposal(ctx, id)
		if err != nil {
			return Accepted{}, err
		}
		current, row, err := e.store.current(ctx)
		if err != nil {
			return Accepted{}, err
		}
		accepted, err := e.rollOutOnce(ctx, operator, stored, proposalRow, current, row)
		if !errors.Is(err, errLost) {
			return accepted, err
		}
	}
	return Accepted{}, ErrBusy
}

func (e *Editor) rollOutOnce(ctx context.Context, operator string, stored bundle.Proposal, proposalRow int64, current model.Bundle, row int64) (Accepted, error) {
	entry := e.newEntry(operator, "RollOut", current)
	rolled, next, err := bundle.RollOut(stored, current, operator, entry.Attempt)
	if err != nil {
		return Accepted{}, err
	}
	entry.Version = next.Version
	entry.Bundle = next
	entry.Proposal = stored.ID
	return e.putInForce(ctx, row, entry, proposalWrite(rolled, proposalRow))
}

// proposalWrite sets a proposal's row on the condition that it has version row.
func proposalWrite(proposal bundle.Proposal, row int64) conditionalWrite {
	key := proposalKey(proposal.ID)
	return conditionalWrite{
		condition: platform.Condition{Key: key, Version: row},
		write:     platform.Write{Key: key, Value: encode(proposal)},
	}
}

func (w conditionalWrite) txn() platform.Txn {
	return platform.Txn{
		Conditions: []platform.Condition{w.condition},
		Writes:     []platform.Write{w.write},
	}
}
