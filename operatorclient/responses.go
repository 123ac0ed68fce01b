package operatorclient

import "github.com/figring/figring/model"

// CurrentBundle is the bundle in force as the responding entry sees it.
type CurrentBundle struct {
	Bundle model.Bundle `json:"bundle"`
	// Fresh is false when the bundle is too old for that entry to act on.
	Fresh      bool  `json:"fresh"`
	FreshForMs int64 `json:"freshForMs"`
	// InForceEverywhere is true when nothing depends on an older version.
	InForceEverywhere bool `json:"inForceEverywhere"`
}

// inForceResponse is the response body of GET /v1/bundle/in-force. InForce is true
// when nothing in the system depends on a bundle older than Version.
type inForceResponse struct {
	Version int64 `json:"version"`
	InForce bool  `json:"inForce"`
}
