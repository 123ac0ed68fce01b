// Package api holds the bodies of the callers' HTTP interface and turns them
// into the types of package model. All times are whole milliseconds.
//
//	POST   /v1/jobs              submit a job, or recognise a resubmission
//	GET    /v1/jobs/{key}        the state of a job; ?wait=MS holds until it ends
//	DELETE /v1/jobs/{key}        cancel a job
//	POST   /v1/requests          run a single request
//
// A refusal is an application/problem+json body with a stable code, the
// outcome (whether the work was run) and, where coming back helps, Retry-After.
package api
