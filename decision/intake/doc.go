// Package intake decides which client gives way when clients that nobody controls use up
// the memory for request bodies or the connections of a process. It is a state machine
// without I/O and clock: the caller tells it what arrives and closes the connections that
// it names.
//
// It addresses crowds of clients that send bodies of legal size, or headers, and stop short
// of the end, and clients that keep connections open. Among such clients the one from which
// nothing has arrived for the longest time gives way. A client whose request is complete
// never does, so that no job loses its answer.
package intake
