// Package ideal schedules a trace with an omniscient list scheduler: it knows
// the true run times, the real speeds of the workers and all future
// cancellations, and it has no latency. Measured response times are compared
// with its response times.
//
// Jobs are scheduled in order of arrival. The tasks of a job are placed longest
// first, each in the slot where it ends soonest; that slot may be a faster one
// that is still busy. Nothing is preempted. The result is not a lower bound: a
// scheduler that lets short jobs overtake can reach a lower mean response time.
package ideal
