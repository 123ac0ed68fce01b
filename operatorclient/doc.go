// Package operatorclient is the Go client of the operator HTTP API.
package operatorclient
