// Package api defines the request and response bodies of the callers' HTTP
// interface and converts them to and from the types of package model. Times in
// requests are whole milliseconds.
//
//	POST   /v1/jobs              submit a job, or recognise a resubmission
//	GET    /v1/jobs/{key}        the state of a job; ?wait=MS waits until it ends
//	DELETE /v1/jobs/{key}        cancel a job
//	POST   /v1/requests          run a single request
//
// A refusal is an application/problem+json body with a stable code, the
// outcome (whether the work was run) and, where a retry can succeed, Retry-After.
package api
