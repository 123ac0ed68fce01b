// Package strictjson decodes one JSON value from untrusted input: bounded in
// size, without unknown fields, and with nothing behind it.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// The errors of Decode.
var (
	// ErrTooLarge means that the input is longer than the limit.
	ErrTooLarge = errors.New("input too large")
	// ErrMalformed means that the input is not the JSON that was asked for.
	ErrMalformed = errors.New("malformed JSON")
)

// Decode reads one value from r into v. It returns ErrTooLarge when r holds
// more than limit bytes, and ErrMalformed for anything that does not decode.
func Decode(r io.Reader, limit int64, v any) error {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if int64(len(body)) > limit {
		return fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
	}
	return Unmarshal(body, v)
}

// Unmarshal decodes body into v as Decode does, without a limit.
func Unmarshal(body []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: data after the value", ErrMalformed)
	}
	return nil
}
