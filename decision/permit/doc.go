// Package permit computes how long a sidecar may start an entry's tasks. It does
// no I/O and reads no clock: every time is passed in and must carry the monotonic
// clock reading of the calling process.
package permit
