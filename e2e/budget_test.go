package e2e

import (
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/semaphore"
)

// maxProcesses bounds the processes of all clusters at once.
const maxProcesses = 25

var processBudget = semaphore.NewWeighted(maxProcesses)

// takeProcesses waits until so many processes may run, for the life of a test.
func takeProcesses(t testing.TB, count int) {
	t.Helper()
	must.NoError(t, processBudget.Acquire(t.Context(), int64(count)))
	t.Cleanup(func() { processBudget.Release(int64(count)) })
}
