// Package ownership decides which sessions are valid and which entry owns which
// partition. It performs no I/O and reads no clock: times are passed in.
package ownership
