// Package runner plays a trace against the callers' interface of a running
// system. Every job is sent at its intended time, whatever became of the ones
// before it, and response times count from the intended time. Runs are bounded
// in jobs and time, and go to addresses of 127.0.0.0/8 only.
package runner
