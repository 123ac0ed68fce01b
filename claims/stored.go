package claims

import "github.com/figring/figring/model"

// Stored is a claim as read from the table.
type Stored struct {
	Claim
	// Claimer is the incarnation of the entry that wrote the claim.
	Claimer model.Incarnation
}
