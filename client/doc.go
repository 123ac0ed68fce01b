// Package client is the Go client of the HTTP interface for callers. It resubmits a
// job with the same key when the response was lost, which is safe because the
// server recognises the key, and it honours the server's retry delay.
package client
