// Package operatorclient is the Go client of the operators' HTTP interface.
package operatorclient
