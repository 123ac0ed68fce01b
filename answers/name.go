package answers

import (
	"fmt"
	"time"

	"github.com/figring/figring/model"
)

// Prefix starts the names of every object and index row of this package.
const Prefix = "answers/"

// batchName returns the name of a group, which serves its object and its row.
// Names of one entry ascend in time.
func batchName(incarnation model.Incarnation, at time.Time, sequence uint64) string {
	return fmt.Sprintf("%s%s/%013d-%010d", Prefix, incarnation, at.UnixMilli(), sequence)
}

// entryPrefix returns the prefix of an entry's names.
func entryPrefix(incarnation model.Incarnation) string {
	return Prefix + string(incarnation) + "/"
}

// firstBatchName returns the least name that a group written at or after a time has.
func firstBatchName(incarnation model.Incarnation, at time.Time) string {
	return batchName(incarnation, at, 0)
}
