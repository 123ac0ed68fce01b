package operator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/figring/figring/common/strictjson"
	"github.com/figring/figring/model"
)

// requiredBundleFields are the fields that a proposed bundle must set. An
// omitted field would otherwise clear a list that the proposer never saw.
var requiredBundleFields = []string{"version", "closedZones", "drainedTargets", "drainedEntries", "callers", "limits"}

// readBody reads the whole body, up to the limit set by withAuthAndLimits.
func readBody(r *http.Request) ([]byte, error) {
	raw, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, model.NewRefusal(model.CodeTooLarge, 0, "the body is larger than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, invalidRequest("the body could not be read: %v", err)
	}
	return raw, nil
}

// decodeStrict decodes exactly one JSON value and rejects unknown fields.
func decodeStrict(raw []byte, into any) error {
	if err := strictjson.Unmarshal(raw, into); err != nil {
		return invalidRequest("the body is not the JSON that is wanted: %v", err)
	}
	return nil
}

// decodeBundle decodes a proposed bundle. Its version is that of the bundle that
// the proposal is based on.
func decodeBundle(raw []byte) (model.Bundle, error) {
	var decoded model.Bundle
	if err := decodeStrict(raw, &decoded); err != nil {
		return model.Bundle{}, err
	}
	var named map[string]json.RawMessage
	if err := json.Unmarshal(raw, &named); err != nil {
		return model.Bundle{}, invalidRequest("the body is not an object: %v", err)
	}
	for _, field := range requiredBundleFields {
		if value, ok := named[field]; !ok || string(value) == "null" {
			return model.Bundle{}, invalidRequest("%s: must be set", field)
		}
	}
	return decoded, nil
}

// editBody is the optional body of an emergency edit.
type editBody struct {
	// Base is the version that the operator saw. If it is nil, the edit applies
	// to whichever version is in force.
	Base *int64 `json:"base"`
}

func decodeEditBody(raw []byte) (editBody, error) {
	var decoded editBody
	if len(raw) == 0 {
		return decoded, nil
	}
	if err := decodeStrict(raw, &decoded); err != nil {
		return editBody{}, err
	}
	if decoded.Base != nil && *decoded.Base < 0 {
		return editBody{}, invalidRequest("base: want at least 0")
	}
	return decoded, nil
}
