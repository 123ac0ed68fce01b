// Package bubble runs tests in fake time.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs f as synctest.Test does, with one processor for Go code.
//
// Go 1.26 gives all timer channels of a bubble one context of the race
// detector. Two goroutines that poll such channels on two processors at once
// corrupt it, and the test process ends with SIGSEGV. Tests that call Test
// must not run in parallel with others of their package.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	previous := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(previous)
	synctest.Test(t, f)
}
