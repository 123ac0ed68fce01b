// Package permit decides for how long a sidecar may start an entry's tasks.
// It does no I/O and reads no clock: every time is passed in and must carry
// the monotonic reading of the process that uses it.
package permit
