// Package settings reads the start-up settings of a process: JSON with
// comments, validated completely before anything starts. Values that operators
// change while processes run are in the bundle instead.
package settings
