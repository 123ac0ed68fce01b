package identity

import "github.com/figring/figring/settings"

// Operators tells operators by the tokens in the start-up settings.
type Operators struct {
	byToken index[string]
}

// NewOperators returns the operators of the settings.
func NewOperators(operators []settings.Operator) *Operators {
	built := &Operators{byToken: make(index[string], len(operators))}
	for _, one := range operators {
		built.byToken.add(one.TokenHash, one.Name)
	}
	return built
}

// Authenticate returns the name of the operator that the token belongs to.
func (o *Operators) Authenticate(token string) (string, bool) {
	return o.byToken.find(token)
}
