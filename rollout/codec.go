package rollout

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
)

// decodeBundle decodes the row of the bundle in force. Stored versions start at 1.
func decodeBundle(raw []byte) (model.Bundle, error) {
	var decoded model.Bundle
	if err := decodeRow(raw, &decoded); err != nil {
		return model.Bundle{}, err
	}
	if decoded.Version < 1 {
		return model.Bundle{}, fmt.Errorf("%w: version %d", ErrCorrupt, decoded.Version)
	}
	return decoded, nil
}

// decodeProposal decodes the row of a proposal and checks that its version follows
// its base.
func decodeProposal(raw []byte) (bundle.Proposal, error) {
	var decoded bundle.Proposal
	if err := decodeRow(raw, &decoded); err != nil {
		return bundle.Proposal{}, err
	}
	if decoded.ID == "" || decoded.Bundle.Version != decoded.Base+1 {
		return bundle.Proposal{}, fmt.Errorf("%w: proposal %q", ErrCorrupt, decoded.ID)
	}
	return decoded, nil
}

// decodeRow decodes exactly one JSON value. Unknown fields are accepted, because a
// newer release may have written them.
func decodeRow(raw []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fmt.Errorf("%w: data after the value", ErrCorrupt)
	}
	return nil
}

// encode returns the JSON of a row. Encoding the types of this package can't fail.
func encode(value any) []byte {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return raw
}
