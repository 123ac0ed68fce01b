package membership

import (
	"encoding/json"

	"github.com/figring/figring/decision/ownership"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

// The keys of the rows of this package.
const (
	// SessionPrefix begins the keys of the session rows.
	SessionPrefix = "sessions/"
	// FencePrefix begins the keys of the fence rows, which are written once,
	// with the session, and deleted with it.
	FencePrefix = "fences/"
	// AssignmentKey is the key of the one assignment row.
	AssignmentKey = "assignment"
)

// SessionRow is the value of a session row.
type SessionRow struct {
	Entry wire.EntryInfo
	// Leaving says that the entry wants to own nothing.
	Leaving bool
	// Renewals numbers the attempts to write the row, so that its holder can
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
		panic(err) // strings, a flag and a number always marshal
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
