// Package instance assembles the processes that run on the users' instances: the
// role (entry or sidecar), the adapters to the users' platform, and the components
// that both roles need.
package instance
