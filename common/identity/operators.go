package identity

import "github.com/figring/figring/settings"

// Operators authenticates operators by the token hashes in the start-up settings.
type Operators struct {
	byToken tokenIndex[string]
}

// NewOperators returns an index of the operators in the settings.
func NewOperators(operators []settings.Operator) *Operators {
	built := &Operators{byToken: make(tokenIndex[string], len(operators))}
	for _, operator := range operators {
		built.byToken.add(operator.TokenHash, operator.Name)
	}
	return built
}

// Authenticate returns the name of the operator that the token belongs to.
func (o *Operators) Authenticate(token string) (string, bool) {
	return o.byToken.find(token)
}
