// Package work holds the types of jobs whose tasks run under leases: what a
// task needs, how it is named, and how a run of it ended.
package work
