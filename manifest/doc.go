// Package manifest holds the operators' configuration of routes and services
// together with the availability zones that are taken out, as one snapshot with
// a version, and spreads the newest snapshot inside a process. A snapshot is
// never replaced by an older one.
package manifest
