package exampletasks

import "regexp"

// postcodePattern matches a postcode of Trinidad: six digits.
var postcodePattern = regexp.MustCompile(`^[0-9]{6}$`)

// address asks whether the address of a subscription is deliverable.
type address struct {
	Subscription string `json:"subscription"`
	Town         string `json:"town"`
	Postcode     string `json:"postcode"`
}

type addressResult struct {
	Subscription string `json:"subscription"`
	Confirmed    bool   `json:"confirmed"`
}

func (a address) valid() bool { return a.Subscription != "" }

func (a address) result() any {
	return addressResult{Subscription: a.Subscription, Confirmed: a.Town != "" && postcodePattern.MatchString(a.Postcode)}
}
