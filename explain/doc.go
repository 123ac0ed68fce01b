// Package explain reads the logs of many processes and tells the story of one
// request, or counts what happened to all of them by reason.
package explain
