// Package ownership decides who holds a session and which entry owns which
// partition. It performs no I/O and reads no clock: times are passed in.
package ownership
