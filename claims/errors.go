package claims

import "errors"

// The errors of this package.
var (
	// ErrNotClaimed proves that the claim was not written and never will be.
	ErrNotClaimed = errors.New("not claimed")
	// ErrFenced proves that the claim was not written, because the session of
	// the claimer was taken over. No later claim of it can succeed.
	ErrFenced = errors.New("not claimed: session was taken over")
	// ErrClaimUnknown means that the claim may have been written.
	ErrClaimUnknown = errors.New("claim outcome unknown")
	// ErrRead means that stored claims could not be read or deleted.
	ErrRead = errors.New("claims not accessible")
	// ErrCorrupt means that a stored row is not a group of claims.
	ErrCorrupt = errors.New("claims row corrupt")
)
