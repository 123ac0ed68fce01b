package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// minSecretBytes is the minimum length of the shared secret.
const minSecretBytes = 16

// resolveSecret returns the shared secret, which is given either directly or in a
// file.
func resolveSecret(dir, secret, file string) (string, error) {
	if (secret == "") == (file == "") {
		return "", &Error{Field: "secret", Reason: "set either secret or secretFile"}
	}
	field := "secret"
	if file != "" {
		field = "secretFile"
		raw, err := os.ReadFile(relativeTo(dir, file))
		if err != nil {
			return "", &Error{Field: field, Reason: err.Error()}
		}
		secret = strings.TrimSpace(string(raw))
	}
	if len(secret) < minSecretBytes {
		return "", &Error{Field: field, Reason: fmt.Sprintf("want a secret of at least %d bytes", minSecretBytes)}
	}
	return secret, nil
}

// relativeTo resolves a relative file name against dir, the directory of the
// settings file. An empty name stays empty.
func relativeTo(dir, file string) string {
	if file == "" || filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(dir, file)
}
