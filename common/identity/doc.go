// Package identity authenticates callers and operators by their bearer tokens.
// Only the SHA-256 hash of a token is stored. Tokens are looked up by hash, so
// that the duration of a lookup reveals nothing about the token.
package identity
