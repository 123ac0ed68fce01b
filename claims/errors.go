package claims

import "errors"

// The errors of this package.
var (
	// ErrNotClaimed guarantees that the claim was not written and never will be.
	ErrNotClaimed = errors.New("not claimed")
	// ErrFenced guarantees that the claim was not written, because another entry
	// took over the session of the claimer. No later claim of that session can
	// succeed.
	ErrFenced = errors.New("not claimed: session was taken over")
	// ErrClaimUnknown means that the claim may have been written.
	ErrClaimUnknown = errors.New("claim outcome unknown")
	// ErrRead means that stored claims could not be read or deleted.
	ErrRead = errors.New("stored claims not accessible")
	// ErrCorrupt means that a stored row does not decode to a batch of claims.
	ErrCorrupt = errors.New("corrupt claims row")
)
