// Package placement chooses sidecars for the tasks of a job by the states that
// the sidecars report, and estimates how long each task waits there to start.
//
// It is designed for jobs of about ten tasks on minions that run about ten tasks
// each and are nearly fully used. A choice therefore takes into account the
// tasks that the entry has sent and the newest state of the sidecar does not
// show yet, and the wait is estimated from the tasks that run and queue there.
package placement
