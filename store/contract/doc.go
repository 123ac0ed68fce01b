// Package contract contains the tests that every implementation of the interfaces
// of package store must pass. Tests of the implementations call its functions.
package contract
