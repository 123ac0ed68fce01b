// Package contract holds the tests that every implementation of the platform's
// interfaces passes. A test file of the implementation calls them.
package contract
