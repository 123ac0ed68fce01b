package claims

import (
	"fmt"
	"time"

	"github.com/figring/figring/model"
)

// Prefix is the common prefix of the keys of all claim rows.
const Prefix = "claims/"

// entryPrefix returns the common prefix of the keys of an entry's claim rows.
func entryPrefix(incarnation model.Incarnation) string {
	return Prefix + string(incarnation) + "/"
}

// rowKey returns the key of a claim row. The keys of one entry sort by time, then
// by sequence.
func rowKey(incarnation model.Incarnation, at time.Time, sequence uint64) string {
	return fmt.Sprintf("%s-%010d", firstRowKey(incarnation, at), sequence)
}

// firstRowKey returns the lower bound of the keys of rows written at or after
// since.
func firstRowKey(incarnation model.Incarnation, since time.Time) string {
	return fmt.Sprintf("%s%013d", entryPrefix(incarnation), max(0, since.UnixMilli()))
}
