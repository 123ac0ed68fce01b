package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// minSecretBytes is the shortest shared secret that is accepted.
const minSecretBytes = 16

// resolveSecret returns the shared secret, from the file when one is named.
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

// relativeTo returns file as seen from the directory of the settings.
func relativeTo(dir, file string) string {
	if file == "" || filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(dir, file)
}
