package heldjob

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestColdStart simulates an entry that starts together with its sidecars after a power
// loss. The callers whose requests were cut off come back at once, with more work than
// the first sidecars have room for; the others join within 400 ms, which is less than
// the jobs can wait. At least 90 % of the jobs must complete in time.
func TestColdStart(t *testing.T) {
	const (
		sidecars  = 15
		firstJoin = 50 * time.Millisecond
		joinGap   = 25 * time.Millisecond
		returning = 60 * time.Millisecond
	)
	class := loadClass{prefix: "/job/", width: 4, length: 900 * time.Millisecond, everyMillis: 2.5}
	f := newLoadFleet([]loadClass{class}, 0)
	f.core.SetExpectedSidecars(sidecars)
	begin, joined := f.now, 0
	f.onStep = func() {
		if joined < sidecars && f.now.Sub(begin) >= firstJoin+time.Duration(joined)*joinGap {
			f.addMinion(fmt.Sprintf("s%d", joined))
			joined++
		}
	}
	f.run([]loadClass{class}, returning)
	f.drain(3 * time.Second)
	must.EqOp(t, sidecars, joined)
	t.Logf("%.3f of %d served in time, %d late", f.share("/job/"), f.submitted["/job/"], f.late["/job/"])
	must.GreaterEq(t, 0.9, f.share("/job/"))
}
