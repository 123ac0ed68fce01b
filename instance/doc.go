// Package instance assembles the processes that run on the users' instances:
// a role, the adapter to the platform, and what both share.
package instance
