// Package heldjob decides about jobs whose submission is answered when they
// have ended. It is the state of an entry as a plain state machine: events and
// the time go in, messages to sidecars and answers to callers come out. It does
// no I/O and has no clock.
//
// Its invariants:
//
//   - A task is placed again only when its former run provably ended, never
//     began, or must have lapsed: DeadAfter has passed since the newest sign
//     that the sidecar may have had of this entry.
//   - "Not run" is answered only when every order of the job was refused.
//   - A job that can't be served in time is refused at once.
//
// It is built for loads of up to nearly the whole capacity with bursts beyond
// it, in which some jobs have to be refused so that the others end in time.
package heldjob
