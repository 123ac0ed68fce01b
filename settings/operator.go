package settings

// Operator is a person who is authorized to change bundles.
type Operator struct {
	Name string `json:"name" validate:"name"`
	// TokenHash is the hex SHA-256 of the operator's bearer token.
	TokenHash string `json:"tokenHash" validate:"len=64,hexadecimal"`
}
