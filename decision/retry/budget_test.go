package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_800_000_000, 0)

// allowedRetries retries until the budget refuses and returns the number of allowed
// retries.
func allowedRetries(budget *Budget, now time.Time) int {
	count := 0
	for count < 10_000 && budget.Retry(now) {
		count++
	}
	return count
}

func TestBudget(t *testing.T) {
	cases := []struct {
		name     string
		requests int
		later    time.Duration
		want     int
	}{
		{"floor", 0, 0, 20},
		{"share of requests", 1000, 0, 120},
		{"within window", 1000, 9 * time.Second, 120},
		{"past window", 1000, 10 * time.Second, 20},
		{"long past window", 1000, time.Hour, 20},
		{"clock set back", 1000, -time.Hour, 120},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			budget := New(Config{})
			for range c.requests {
				budget.RecordRequest(testStart)
			}
			must.Eq(t, c.want, allowedRetries(budget, testStart.Add(c.later)))
			must.False(t, budget.Retry(testStart.Add(c.later)))
		})
	}
}

// TestRetriesStayWithinRatio draws random traffic within one window. The retries must
// never exceed the floor plus the ratio of the requests.
func TestRetriesStayWithinRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := New(Config{Ratio: 0.2, FloorPerSecond: 1, Window: 10 * time.Second})
		requests, retries := 0, 0
		now := testStart
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				budget.RecordRequest(now)
				requests++
			} else if budget.Retry(now) {
				retries++
			}
			if float64(retries) > 10+0.2*float64(requests) {
				t.Fatalf("%d retries of %d requests", retries, requests)
			}
		}
	})
}
