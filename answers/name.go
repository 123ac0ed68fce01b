package answers

import (
	"fmt"
	"time"

	"github.com/figring/figring/model"
)

// Prefix is the common prefix of the names of all objects and index rows that
// this package writes.
const Prefix = "answers/"

// batchName returns the name shared by the object and the index row of a batch.
// The names of one entry sort by time.
func batchName(incarnation model.Incarnation, at time.Time, sequence uint64) string {
	return fmt.Sprintf("%s%s/%013d-%010d", Prefix, incarnation, at.UnixMilli(), sequence)
}

// entryPrefix returns the common prefix of all batch names of an entry.
func entryPrefix(incarnation model.Incarnation) string {
	return Prefix + string(incarnation) + "/"
}

// firstBatchName returns the lower bound of the names of batches written at or
// after the given time.
func firstBatchName(incarnation model.Incarnation, at time.Time) string {
	return batchName(incarnation, at, 0)
}
