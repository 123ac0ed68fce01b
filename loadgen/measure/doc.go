// Package measure runs the measures of figring over a fleet of real processes
// on the loopback and sets each figure beside its goal.
package measure
