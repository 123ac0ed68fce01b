// Package identity tells callers and operators by their bearer tokens. Only
// the SHA-256 of a token is kept. A token is looked up by its hash, so that the
// time of a lookup says nothing about the token itself.
package identity
