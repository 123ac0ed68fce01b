package identity

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// maxTokenBytes bounds the token in a header.
const maxTokenBytes = 1024

// bearerScheme is the scheme of RFC 6750 in lower case.
const bearerScheme = "bearer"

type digest = [sha256.Size]byte

// Hash returns the hex SHA-256 of a token, as settings and bundles hold it.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Bearer returns the token in the value of an Authorization header.
func Bearer(header string) (string, bool) {
	scheme, token, found := strings.Cut(header, " ")
	if !found || !strings.EqualFold(scheme, bearerScheme) {
		return "", false
	}
	token = strings.TrimSpace(token)
	return token, token != "" && len(token) <= maxTokenBytes
}

// parseHash returns the hash as bytes; ok is false for anything else.
func parseHash(text string) (hash digest, ok bool) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(hash) {
		return digest{}, false
	}
	return digest(raw), true
}

// index finds the owner of a token.
type index[T any] map[digest]indexed[T]

type indexed[T any] struct {
	hash  digest
	owner T
}

func (i index[T]) add(hashText string, owner T) {
	if hash, ok := parseHash(hashText); ok {
		i[hash] = indexed[T]{hash: hash, owner: owner}
	}
}

func (i index[T]) find(token string) (owner T, ok bool) {
	hash := sha256.Sum256([]byte(token))
	found := i[hash]
	if subtle.ConstantTimeCompare(found.hash[:], hash[:]) != 1 {
		return owner, false
	}
	return found.owner, true
}
