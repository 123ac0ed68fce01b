package identity

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// maxTokenBytes limits the length of a token in a header.
const maxTokenBytes = 1024

// bearerScheme is the authentication scheme of RFC 6750; it is compared without
// regard to case.
const bearerScheme = "bearer"

type digest = [sha256.Size]byte

// Hash returns the hex SHA-256 of a token, the form stored in settings and bundles.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Bearer returns the token in the value of an Authorization header. It reports
// false for another scheme, an empty token or a token above maxTokenBytes.
func Bearer(header string) (string, bool) {
	scheme, token, found := strings.Cut(header, " ")
	if !found || !strings.EqualFold(scheme, bearerScheme) {
		return "", false
	}
	token = strings.TrimSpace(token)
	return token, token != "" && len(token) <= maxTokenBytes
}

// parseHash decodes a hex SHA-256. It reports false for any other text.
func parseHash(text string) (hash digest, ok bool) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(hash) {
		return digest{}, false
	}
	return digest(raw), true
}

// tokenIndex maps the hashes of tokens to the owners of the tokens.
type tokenIndex[T any] map[digest]tokenOwner[T]

type tokenOwner[T any] struct {
	hash  digest
	owner T
}

// add adds the owner of a token. A hash that does not parse is ignored, and its
// owner can't authenticate.
func (i tokenIndex[T]) add(hashText string, owner T) {
	if hash, ok := parseHash(hashText); ok {
		i[hash] = tokenOwner[T]{hash: hash, owner: owner}
	}
}

func (i tokenIndex[T]) find(token string) (owner T, ok bool) {
	hash := sha256.Sum256([]byte(token))
	found := i[hash]
	if subtle.ConstantTimeCompare(found.hash[:], hash[:]) != 1 {
		return owner, false
	}
	return found.owner, true
}
