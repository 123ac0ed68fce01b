// Package ideal schedules a trace as well as a list scheduler can that knows
// everything: the true run times, the real speeds of the workers, and the
// cancellations to come. It has no latency. Its response times are what a
// measured run is compared with.
//
// Jobs are taken in the order of arrival. The tasks of a job are placed
// longest first, each in the slot where it ends soonest, which may be a faster
// one that is still taken. Nothing is preempted. It is no lower bound: a
// scheduler that lets short jobs overtake can have a lower mean.
package ideal
