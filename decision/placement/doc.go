// Package placement chooses the sidecars for the tasks of a job from what the
// entry knows of their room, and tells when there is none in time.
//
// It is built for jobs of some ten tasks on minions that run some ten tasks
// each and are nearly full: a choice counts what the entry has sent and the
// sidecar's newest state does not show yet, and a wait for room is estimated
// from what runs and waits there.
package placement
