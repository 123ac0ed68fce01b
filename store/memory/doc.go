// Package memory implements the platform's services in the memory of one
// process. Every operation is atomic under one lock, so both services are
// linearizable. Contents are lost with the process.
package memory
