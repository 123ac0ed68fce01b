// Package settings reads the start-up settings of a process: JSON with
// comments, checked as a whole before anything starts. What operators change
// while processes run stands in the bundle instead.
package settings
