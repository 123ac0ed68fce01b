package exampletasks

import "regexp"

// postcodeForm is the form of a postcode of Trinidad: six digits.
var postcodeForm = regexp.MustCompile(`^[0-9]{6}$`)

// address asks whether an address can be delivered to.
type address struct {
	Subscription string `json:"subscription"`
	Town         string `json:"town"`
	Postcode     string `json:"postcode"`
}

type addressResult struct {
	Subscription string `json:"subscription"`
	Confirmed    bool   `json:"confirmed"`
}

func (a address) known() bool { return a.Subscription != "" }

func (a address) result() any {
	return addressResult{Subscription: a.Subscription, Confirmed: a.Town != "" && postcodeForm.MatchString(a.Postcode)}
}
