package jobstate

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
)

// TestEndBeforeAdoption ends a former owner's job before the sidecars' records have
// arrived. The outcome must be unknown, because its tasks may have been started.
func TestEndBeforeAdoption(t *testing.T) {
	for _, event := range []Event{Cancel{}, DeadlinePassed{}} {
		config := Config{Key: testKey, Tasks: 2, Deadline: testDeadline, MaxAttempts: testAttempts, Adopting: true}
		answer := finishOf(New(config).Apply(event, testStart))
		must.NotNil(t, answer)
		must.Eq(t, model.Unknown, answer.Outcome)
	}
}
