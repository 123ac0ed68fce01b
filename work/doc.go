// Package work defines the types of jobs whose tasks run under leases: the
// resources that a task needs, its key, and how a run of it ended.
package work
