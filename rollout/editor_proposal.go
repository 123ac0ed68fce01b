package rollout

import (
	"context"
	"errors"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

// Propose stores a proposal to replace version base with next.
func (e *Editor) Propose(ctx context.Context, operator string, base int64, next model.Bundle) (bundle.Proposal, error) {
	current, _, err := e.store.current(ctx)
	if err != nil {
		return bundle.Proposal{}, err
	}
	proposal, err := bundle.Propose(e.options.NewID(), operator, base, current, next, e.options.Rules)
	if err != nil {
		return bundle.Proposal{}, err
	}
	return proposal, e.createProposal(ctx, proposal)
}

// ProposeEdit stores a proposal to change the bundle in force by edit.
func (e *Editor) ProposeEdit(ctx context.Context, operator string, edit bundle.Edit) (bundle.Proposal, error) {
	current, _, err := e.store.current(ctx)
	if err != nil {
		return bundle.Proposal{}, err
	}
	next, _, err := bundle.ApplyEdit(current, edit, e.options.Rules)
	if err != nil {
		return bundle.Proposal{}, err
	}
	proposal, err := bundle.Propose(e.options.NewID(), operator, current.Version, current, next, e.options.Rules)
	if err != nil {
		return bundle.Proposal{}, err
	}
	return proposal, e.createProposal(ctx, proposal)
}

// createProposal writes a new proposal. Its identifier is unique, so the presence of
// its row proves that the write took effect.
func (e *Editor) createProposal(ctx context.Context, proposal bundle.Proposal) error {
	applied := func(ctx context.Context) (bool, error) {
		_, _, err := e.store.proposal(ctx, proposal.ID)
		if errors.Is(err, ErrNotFound) {
			return false, nil
		}
		return err == nil, err
	}
	change := proposalWrite(proposal, 0)
	return e.store.commit(ctx, attempt{id: proposal.ID, txn: change.txn(), applied: applied})
}

// SignOff records that operator signs off a proposal.
func (e *Editor) SignOff(ctx context.Context, operator, id string) (bundle.Proposal, error) {
	attemptID := e.options.NewID()
	return e.applyTransition(ctx, id, transition{
		attempt: attemptID,
		apply:   func(p bundle.Proposal) (bundle.Proposal, error) { return bundle.SignOff(p, operator, attemptID) },
		applied: func(p bundle.Proposal) bool { return p.SignOffAttempt == attemptID },
	})
}

// Reject records that operator rejects a proposal.
func (e *Editor) Reject(ctx context.Context, operator, id string) (bundle.Proposal, error) {
	attemptID := e.options.NewID()
	return e.applyTransition(ctx, id, transition{
		attempt: attemptID,
		apply:   func(p bundle.Proposal) (bundle.Proposal, error) { return bundle.Reject(p, operator, attemptID) },
		applied: func(p bundle.Proposal) bool { return p.RejectAttempt == attemptID },
	})
}

// transition is one change of a proposal's state.
type transition struct {
	attempt string
	apply   func(bundle.Proposal) (bundle.Proposal, error)
	// applied reports whether the proposal was changed by this attempt.
	applied func(bundle.Proposal) bool
}

// applyTransition applies a transition by compare-and-set on the proposal's row. If
// another change was committed first, it applies the transition to the changed
// proposal.
func (e *Editor) applyTransition(ctx context.Context, id string, change transition) (bundle.Proposal, error) {
	applied := func(ctx context.Context) (bool, error) {
		stored, _, err := e.store.proposal(ctx, id)
		return err == nil && change.applied(stored), err
	}
	for range maxConflictAttempts {
		stored, rowVersion, err := e.store.proposal(ctx, id)
		if err != nil {
			return bundle.Proposal{}, err
		}
		next, err := change.apply(stored)
		if err != nil {
			return stored, err
		}
		txn := proposalWrite(next, rowVersion).txn()
		err = e.store.commit(ctx, attempt{id: change.attempt, txn: txn, applied: applied})
		if !errors.Is(err, errConditionFailed) {
			return next, err
		}
	}
	return bundle.Proposal{}, ErrTooManyConflicts
}

// RollOut puts a signed-off proposal in force. It fails with a ConflictError if another
// version came in force after the proposal was made.
func (e *Editor) RollOut(ctx context.Context, operator, id string) (ChangeResult, error) {
	for range maxConflictAttempts {
		result, err := e.rollOutOnce(ctx, operator, id)
		if !errors.Is(err, errConditionFailed) {
			return result, err
		}
	}
	return ChangeResult{}, ErrTooManyConflicts
}

func (e *Editor) rollOutOnce(ctx context.Context, operator, id string) (ChangeResult, error) {
	stored, proposalVersion, err := e.store.proposal(ctx, id)
	if err != nil {
		return ChangeResult{}, err
	}
	current, rowVersion, err := e.store.current(ctx)
	if err != nil {
		return ChangeResult{}, err
	}
	entry := e.newEntry(operator, "RollOut", current)
	rolled, next, err := bundle.RollOut(stored, current, operator, entry.Attempt)
	if err != nil {
		return ChangeResult{}, err
	}
	entry.Version = next.Version
	entry.Bundle = next
	entry.Proposal = id
	return e.putInForce(ctx, rowVersion, entry, proposalWrite(rolled, proposalVersion))
}

// proposalWrite sets a proposal's row on the condition that it has version
// rowVersion.
func proposalWrite(proposal bundle.Proposal, rowVersion int64) conditionalWrite {
	key := proposalKey(proposal.ID)
	return conditionalWrite{
		condition: store.Condition{Key: key, Version: rowVersion},
		write:     store.Write{Key: key, Value: encode(proposal)},
	}
}

func (w conditionalWrite) txn() store.Txn {
	return store.Txn{
		Conditions: []store.Condition{w.condition},
		Writes:     []store.Write{w.write},
	}
}
