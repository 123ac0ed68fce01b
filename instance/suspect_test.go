package instance

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/platform/standin"
)

// TestPairsAreServedAfterTheirMinionFailed guards against jobs of two tasks that are refused
// without end, because the only minion that may run them is suspect and never gets a trial.
func TestPairsAreServedAfterTheirMinionFailed(t *testing.T) {
	const bound = 10 * time.Second
	s := newSystem(t, 1, 2)
	number := 0
	submitUntil := func(status int, state string) {
		for until := time.Now().Add(bound); ; number++ {
			entry := s.entries[number%len(s.entries)]
			told := s.submit(entry, fmt.Sprintf("%016x", 0xd000+number), job(2, 1000, 20*time.Millisecond))
			if told.status == status && told.state == state {
				return
			}
			must.True(t, time.Now().Before(until), must.Sprintf("the last answer was %+v", told))
			time.Sleep(20 * time.Millisecond)
		}
	}
	s.minions[0].SetFaults(standin.Faults{Fail: 1})
	submitUntil(http.StatusServiceUnavailable, "")
	s.minions[0].SetFaults(standin.Faults{})
	submitUntil(http.StatusOK, "completed")
}
