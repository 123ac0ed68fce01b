// Package manifest defines the operators' configuration of routes and services.
// A versioned Snapshot combines it with the evacuated availability zones. Holder
// distributes the newest snapshot within a process and never replaces it by an
// older one.
package manifest
