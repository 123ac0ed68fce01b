// Package client is the Go client of the callers' HTTP interface. It
// resubmits a job with the same key after a lost answer, which is safe because
// the key is recognised, and it honours Retry-After.
package client
