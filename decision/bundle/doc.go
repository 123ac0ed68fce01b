// Package bundle implements the lifecycle of a configuration bundle as pure
// functions. A bundle is proposed, signed off by another operator, and rolled
// out by a compare-and-set on the version in force.
//
// Emergency edits, which take a zone, a sidecar or an entry out of service or
// put it back, need no second operator, because a failing zone must be closed
// without waiting for a colleague. They can't change quotas, callers or limits.
//
// The package gets the time from its callers and does not access the store.
package bundle
