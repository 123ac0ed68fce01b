// Package where is the interface by which a dispatcher tells, on its status listener, where
// a job would be placed now: the messages, the handler and the client.
package where
