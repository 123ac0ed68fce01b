package bubble_test

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/bubble"
)

const (
	bubbles    = 100
	goroutines = 8
	polls      = 50
)

// TestTickersAreRead polls tickers from several goroutines that wake up at the
// same time. If synctest.Test is called directly, with the race detector and
// several processors, the process crashes within a few bubbles.
func TestTickersAreRead(t *testing.T) {
	for range bubbles {
		bubble.Test(t, func(t *testing.T) {
			ticks := make([]int, goroutines)
			var group sync.WaitGroup
			for i := range goroutines {
				group.Go(func() { ticks[i] = countTicks() })
			}
			group.Wait()
			for _, count := range ticks {
				must.EqOp(t, polls, count)
			}
		})
	}
}

func countTicks() int {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	count := 0
	for range polls {
		time.Sleep(time.Second)
		select {
		case <-ticker.C:
			count++
		default:
		}
	}
	return count
}

// TestProcessorsAreRestored checks that Test restores the previous GOMAXPROCS for
// later tests.
func TestProcessorsAreRestored(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	bubble.Test(t, func(t *testing.T) { must.EqOp(t, 1, runtime.GOMAXPROCS(0)) })
	must.EqOp(t, before, runtime.GOMAXPROCS(0))
}
