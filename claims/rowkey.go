package claims

import (
	"fmt"
	"time"

	"github.com/figring/figring/model"
)

// Prefix begins the keys of all rows of claims.
const Prefix = "claims/"

func entryPrefix(incarnation model.Incarnation) string {
	return Prefix + string(incarnation) + "/"
}

// rowKey orders the rows of one entry by time, then by sequence.
func rowKey(incarnation model.Incarnation, at time.Time, sequence uint64) string {
	return fmt.Sprintf("%s-%010d", firstRowKey(incarnation, at), sequence)
}

// firstRowKey is not greater than the key of any row written at or after since.
func firstRowKey(incarnation model.Incarnation, since time.Time) string {
	return fmt.Sprintf("%s%013d", entryPrefix(incarnation), max(0, since.UnixMilli()))
}
