package session

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestBacklogAhead checks that only tasks that are due earlier, or in the same
// bucket, count as ahead.
func TestBacklogAhead(t *testing.T) {
	var backlog Backlog
	backlog.Add(-time.Millisecond, 1)
	backlog.Add(60*time.Millisecond, 10)
	backlog.Add(time.Second, 100)
	must.EqOp(t, 1, backlog.Ahead(20*time.Millisecond))
	must.EqOp(t, 11, backlog.Ahead(80*time.Millisecond))
	must.EqOp(t, 111, backlog.Ahead(2*time.Second))
	must.EqOp(t, 111, backlog.Total())
}
