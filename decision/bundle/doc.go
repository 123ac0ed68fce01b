// Package bundle holds the rules of the life of a configuration bundle as pure
// functions: a bundle is proposed, signed off by another operator, and rolled
// out by a compare-and-set on the version in force. Edits that take a zone, a
// sidecar or an entry out or back in skip the second operator, because their
// use lies in the shortness of the notice: a failing zone doesn't wait for a
// colleague. They can't change quotas, callers or limits. Time is passed in
// and nothing here reads or writes the store.
package bundle
