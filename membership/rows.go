package membership

import (
	"encoding/json"

	"github.com/figring/figring/decision/ownership"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

const (
	// SessionPrefix is the prefix of the keys of the session rows.
	SessionPrefix = "sessions/"
	// FencePrefix is the prefix of the keys of the fence rows. A fence row is written
	// once, together with the session row, and deleted with it.
	FencePrefix = "fences/"
	// AssignmentKey is the key of the single assignment row.
	AssignmentKey = "assignment"
)

// SessionRow is the value of a session row.
type SessionRow struct {
	Entry wire.EntryInfo
	// Leaving is set when the entry is to own no partitions.
	Leaving bool
	// Renewals numbers the attempts to write the row, so that the entry can
	// tell which of them took effect.
	Renewals int64
}

// DecodeSession parses the value of a session row.
func DecodeSession(value []byte) (SessionRow, error) {
	var row SessionRow
	err := json.Unmarshal(value, &row)
	return row, err
}

func sessionKey(incarnation model.Incarnation) string {
	return SessionPrefix + string(incarnation)
}

func fenceKey(incarnation model.Incarnation) string {
	return FencePrefix + string(incarnation)
}

func encodeSession(row SessionRow) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // strings, a bool and a number always marshal
	}
	return value
}

func encodeAssignment(assignment *ownership.Assignment) []byte {
	value, err := json.Marshal(assignment)
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	return value
}

func decodeAssignment(row store.Row) (ownership.Assignment, error) {
	var assignment ownership.Assignment
	err := json.Unmarshal(row.Value, &assignment)
	return assignment, err
}
