package standin

import "sync/atomic"

// counters counts the requests by service and by kind (read or write), and the
// commits that failed with a conflict.
type counters struct {
	tableReads   atomic.Int64
	tableWrites  atomic.Int64
	objectReads  atomic.Int64
	objectWrites atomic.Int64
	conflicts    atomic.Int64
}

func (c *counters) snapshot() Counts {
	counts := Counts{
		TableReads:   c.tableReads.Load(),
		TableWrites:  c.tableWrites.Load(),
		ObjectReads:  c.objectReads.Load(),
		ObjectWrites: c.objectWrites.Load(),
		Conflicts:    c.conflicts.Load(),
	}
	counts.Reads = counts.TableReads + counts.ObjectReads
	counts.Writes = counts.TableWrites + counts.ObjectWrites
	return counts
}
