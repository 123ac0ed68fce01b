// Package explain reads the event logs of several processes. It builds the timeline
// of one request, or counts the events of all requests by kind and reason.
package explain
