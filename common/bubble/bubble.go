// Package bubble runs tests with a fake clock in synctest bubbles.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs f like synctest.Test, but with GOMAXPROCS set to 1.
//
// In Go 1.26 all timer channels of a bubble share one race detector context. Two
// goroutines that poll such channels in parallel corrupt it, and the test process
// crashes with SIGSEGV. Because GOMAXPROCS is global, tests that call Test must
// not run in parallel with other tests of their package.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	previous := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(previous)
	synctest.Test(t, f)
}
