// Package announce receives the announcements of the minion that shares a worker
// with a sidecar. The minion sends POST /v1/announce with a store.Announcement as
// JSON; the reply to a valid one has status 204.
package announce
