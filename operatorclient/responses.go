package operatorclient

import "github.com/figring/figring/model"

// CurrentBundle is the bundle that an entry acts on.
type CurrentBundle struct {
	Bundle model.Bundle `json:"bundle"`
	// Fresh is false when that entry may not act on the bundle any more.
	Fresh      bool  `json:"fresh"`
	FreshForMs int64 `json:"freshForMs"`
	// InForceEverywhere is true when nothing rests on an older version.
	InForceEverywhere bool `json:"inForceEverywhere"`
}

// inForceResponse answers whether nothing rests on a version older than Version.
type inForceResponse struct {
	Version int64 `json:"version"`
	InForce bool  `json:"inForce"`
}
