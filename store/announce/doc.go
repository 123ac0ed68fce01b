// Package announce receives over HTTP what the minion beside a sidecar says of
// itself: POST /v1/announce with a platform.Announcement as JSON, answered 204.
package announce
