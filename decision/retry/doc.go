// Package retry limits retries to a share of the recent requests, so that a fault of
// many targets can't multiply the load on the others. It is modelled on the retry
// budget of Finagle: each request adds to the budget, each retry uses it up, and a
// small minimum rate allows retries of a caller with few requests.
package retry
