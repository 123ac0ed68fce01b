package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/figring/figring/common/identity"
)

// tokenLong is the help text of the token subcommand.
const tokenLong = `Reads a bearer token from the standard input and prints its SHA-256 in hex, as
"tokenHash" in settings and bundles wants it. Line ends around the token are
not part of it.

Example:
  figring token < token.txt`

// maxTokenInput bounds what is read as a token.
const maxTokenInput = 1024

type tokenCommand struct {
	streams *IO
	in      io.Reader
}

// Execute implements flags.Commander.
func (c *tokenCommand) Execute([]string) error {
	token, err := readToken(c.in)
	if err != nil {
		return err
	}
	fmt.Fprintln(c.streams.Out, identity.Hash(token))
	return nil
}

// readTokenFile reads a bearer token from a file.
func readTokenFile(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", usageError(err)
	}
	defer func() { _ = file.Close() }()
	return readToken(file)
}

// readToken reads a bearer token without the line ends around it.
func readToken(in io.Reader) (string, error) {
	raw, err := io.ReadAll(io.LimitReader(in, maxTokenInput+1))
	if err != nil {
		return "", err
	}
	token := strings.TrimSpace(string(raw))
	if token == "" || len(raw) > maxTokenInput {
		return "", usageError(errors.New("want a token of 1 to 1024 bytes"))
	}
	return token, nil
}
