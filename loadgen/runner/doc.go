// Package runner replays a trace against the caller API of a running system.
// The load is open-loop: every job is sent at its intended time, regardless of
// the outcome of earlier jobs, and response times are measured from the
// intended time. Runs are limited in jobs and duration, and requests go only to
// addresses in 127.0.0.0/8.
package runner
