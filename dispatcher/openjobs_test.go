package dispatcher

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/jobstore"
	"github.com/figring/figring/work"
)

// TestScanKeepsBoundedOrphans guards against a scan that keeps the rows of all open jobs, and
// against orphans beyond its bound that it doesn't count.
func TestScanKeepsBoundedOrphans(t *testing.T) {
	self, gone, alive := jobstore.Owner{Name: "self"}, jobstore.Owner{Name: "gone"}, jobstore.Owner{Name: "alive"}
	found := newOpenJobs([]work.JobID{"mine", "ended"}, func(owner jobstore.Owner) bool { return owner != alive })
	add := func(id string, owner jobstore.Owner, rowBytes int) {
		found.add(&jobstore.OpenJob{ID: work.JobID(id), Progress: jobstore.Progress{Owner: owner, Route: "r"}}, rowBytes)
	}
	add("mine", self, 100)
	add("other", alive, maxOrphanBytes)
	add("taken over", gone, 100)
	const rows = 10
	for i := range rows {
		add(fmt.Sprint(i), gone, maxOrphanBytes/rows)
	}
	must.Eq(t, []work.JobID{"ended"}, found.ended())

	found.dropOwn(self, map[work.JobID]bool{"taken over": true})
	must.MapLen(t, 1, found.orphans)
	kept := len(found.orphans[gone])
	must.Between(t, 1, kept, rows-1)
	must.EqOp(t, rows, kept+found.overflow.jobs())
	scan := found.jobScan(map[string]string{"alive": "1.0"})
	must.Eq(t, map[string]int{"r": rows}, scan.pending)
	must.Eq(t, map[jobstore.Owner]bool{gone: true}, scan.orphaned)
}

// TestSizeOfEarlierRowsIsAssumed guards against jobs of an earlier build that count for
// nothing when they are taken over.
func TestSizeOfEarlierRowsIsAssumed(t *testing.T) {
	must.EqOp(t, int64(unknownBytes), memoryOf(&jobstore.OpenJob{}))
	must.EqOp(t, int64(3000), memoryOf(&jobstore.OpenJob{Progress: jobstore.Progress{Memory: 3000}}))
}
