package exampletasks

import "encoding/json"

// The classes of tasks that have an answer here.
const (
	ClassEligibility = "eligibility"
	ClassDossier     = "dossier"
	ClassConflict    = "conflict"
	ClassRenewal     = "renewal"
	ClassGift        = "gift"
	ClassAddress     = "address"
)

// Answer returns the answer to a task of class, or false when the class is
// unknown or the payload isn't one of that class.
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

// check is the payload of one class of tasks.
type check interface {
	// known reports whether the payload names what it is about.
	known() bool
	// result returns the answer, a value that encodes to JSON.
	result() any
}

func answer[T check](payload []byte) ([]byte, bool) {
	var parsed T
	if json.Unmarshal(payload, &parsed) != nil || !parsed.known() {
		return nil, false
	}
	body, err := json.Marshal(parsed.result())
	return body, err == nil
}
