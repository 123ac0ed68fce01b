// Package entry implements the entry process, which runs behind the platform's
// load balancer. An entry accepts jobs from the callers connected to it, and
// owns some of the partitions of the key space. The Forwarder sends each job to
// the owner of its partition; the owner deduplicates, claims, routes and
// answers it.
//
// The components run in goroutines of their own, connected by bounded channels.
// One goroutine, the Owner's event loop, holds all state of jobs and routing
// and does no I/O.
package entry
