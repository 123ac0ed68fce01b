// Package manifestsource decides when an entry fetches a manifest from a sidecar, and from
// which, because it has not read that manifest from the platform's table.
//
// It is designed for manifests of up to a few megabytes, entries whose links need seconds
// for several copies of one, and some sixty sidecars that all report the same new version
// within milliseconds. An entry therefore fetches one copy at a time, from one sidecar, and
// only after the table has had time to deliver it.
package manifestsource
