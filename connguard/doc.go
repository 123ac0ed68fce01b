// Package connguard keeps the memory and the descriptors that clients of a process use
// within limits. It wraps the listeners that clients reach, reads their bodies, and closes
// the connections of those that package decision/intake chooses.
package connguard
