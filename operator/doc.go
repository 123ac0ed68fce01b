// Package operator serves the operator HTTP API: reading the bundle in force
// and its history, proposing, signing off and rolling out bundles, and the
// emergency edits that take a zone, a sidecar or an entry out of service or put
// it back. Every refusal is an RFC 9457 problem whose outcome says whether the
// change is known not to have been made.
package operator
