// Package strictjson decodes a single JSON value from untrusted input. It limits
// the size and rejects unknown fields and trailing data.
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
	// ErrMalformed means that the input could not be read, is not valid JSON, does
	// not match the target type, or has trailing data.
	ErrMalformed = errors.New("malformed JSON")
)

// Decode reads one value from r into v. Its error wraps ErrTooLarge when r holds
// more than limit bytes, and ErrMalformed when r can't be read or decoded.
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

// Unmarshal decodes body into v as Decode does, without a size limit.
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
