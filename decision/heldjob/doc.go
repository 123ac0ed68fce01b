// Package heldjob implements the scheduling decisions of an entry for jobs whose
// tasks run under leases. A best-effort job is held in memory and answered when it
// has ended. Any other job is written to the job store first; its submission is
// answered when it is stored.
//
// Core is a state machine without I/O and without a clock: its methods take events
// and the current time, and it returns actions such as messages to sidecars, writes
// to the job store and answers to callers.
//
// Invariants:
//
//   - A task is placed again only if its previous run has provably ended, never
//     started, or must have expired: RunExpiry has passed since the newest message
//     of this entry that the sidecar may have received.
//   - Refused is answered only if every start request of the job was refused.
//   - A job that can't be served in time is refused immediately.
//
// The package is designed for loads of up to nearly the whole capacity, with bursts
// beyond it in which some jobs have to be refused so that the others end in time.
package heldjob
