package exampletasks

import "encoding/json"

// Task classes that Answer supports.
const (
	ClassEligibility = "eligibility"
	ClassDossier     = "dossier"
	ClassConflict    = "conflict"
	ClassRenewal     = "renewal"
	ClassGift        = "gift"
	ClassAddress     = "address"
)

// Answer returns the JSON result of a task of class. It returns false if the class
// is unknown or the payload is not a valid payload of that class.
func Answer(class string, payload []byte) ([]byte, bool) {
	switch class {
	case ClassEligibility:
		return answer[eligibility](payload)
	case ClassDossier:
		return answer[dossier](payload)
	case ClassConflict:
		return answer[conflict](payload)
	case ClassRenewal:
		return answer[renewal](payload)
	case ClassGift:
		return answer[gift](payload)
	case ClassAddress:
		return answer[address](payload)
	}
	return nil, false
}

// taskPayload is the decoded payload of one task class.
type taskPayload interface {
	// valid reports whether the fields that identify the subject are set.
	valid() bool
	// result returns the result, a value that encodes to JSON.
	result() any
}

// answer decodes payload as a T and returns its encoded result.
func answer[T taskPayload](payload []byte) ([]byte, bool) {
	var parsed T
	if json.Unmarshal(payload, &parsed) != nil || !parsed.valid() {
		return nil, false
	}
	body, err := json.Marshal(parsed.result())
	return body, err == nil
}
