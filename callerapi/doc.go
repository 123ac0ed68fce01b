// Package callerapi serves the callers' HTTP interface; see package api for its
// paths and bodies. It authenticates callers and checks the size and syntax of
// their requests. All decisions about jobs are left to a JobService.
package callerapi
