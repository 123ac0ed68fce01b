// Package operator serves the operators' HTTP interface: reading the bundle in
// force and its history, proposing, signing off and rolling out bundles, and
// the edits that take a zone, a sidecar or an entry out or back in. Every
// refusal is a problem of RFC 9457 whose outcome says whether the change is
// known not to have been made.
package operator
