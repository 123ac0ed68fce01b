// Package exampletasks computes the results of the tasks of the two example
// jobs from the fields of their payloads. It stands in for the users' own back
// ends.
package exampletasks
