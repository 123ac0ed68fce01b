// Package retry bounds retries by a share of the requests of the last seconds,
// so that a fault of many targets can't multiply the load on the others. The
// scheme is that of the retry budget of Finagle: requests deposit, retries
// withdraw, and a small floor lets a quiet caller retry at all.
package retry
