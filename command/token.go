package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/figring/figring/common/identity"
)

const tokenLong = `Reads a bearer token from standard input and prints its SHA-256 hash in hex, the
form that "tokenHash" has in settings and bundles. White space around the token
is ignored.

Example:
  figring token < token.txt`

// maxTokenInput is the maximum length of the input of a token, in bytes.
const maxTokenInput = 1024

type tokenCommand struct {
	streams *IO
	in      io.Reader
}

// Execute implements flags.Commander.
func (c *tokenCommand) Execute([]string) error {
	token, err := readTokenFrom(c.in)
	if err != nil {
		return err
	}
	fmt.Fprintln(c.streams.Out, identity.Hash(token))
	return nil
}

// readTokenFile reads a bearer token from the file at path.
func readTokenFile(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", usageError(err)
	}
	defer func() { _ = file.Close() }()
	return readTokenFrom(file)
}

// readTokenFrom reads a bearer token from in and trims the white space around it.
func readTokenFrom(in io.Reader) (string, error) {
	raw, err := io.ReadAll(io.LimitReader(in, maxTokenInput+1))
	if err != nil {
		return "", err
	}
	token := strings.TrimSpace(string(raw))
	if token == "" || len(raw) > maxTokenInput {
		return "", usageError(errors.New("the token must have 1 to 1024 bytes"))
	}
	return token, nil
}
