// Package entry is the role of the processes behind the platform's balancer.
// An entry is a front for the callers connected to it and the owner of a part
// of the key space: the front hands each job to the owner of its partition,
// the owner deduplicates, claims, routes and answers.
//
// Duties run in goroutines of their own, joined by bounded channels. One
// goroutine, the owner's loop, holds all state of jobs and routing; it does no
// I/O.
package entry
