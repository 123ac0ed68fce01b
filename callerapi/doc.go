// Package callerapi is the callers' HTTP interface; see package api for its
// paths and bodies. It checks identity, sizes and syntax, and leaves every
// decision about work to the Jobs behind it.
package callerapi
