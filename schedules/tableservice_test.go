package schedules

import (
	"context"
	"encoding/json"

	"github.com/figring/figring/store"
	"github.com/figring/figring/store/memory"
)

// tableService is the platform's table with outages. It never pauses or ends.
type tableService struct {
	*memory.Table
	out bool
}

func (s *tableService) alive() bool { return true }
func (s *tableService) awake() bool { return true }

// read returns the row of the key, or the zero row when there is none.
func (s *tableService) read(key string) store.Row {
	row, err := s.Get(context.Background(), key)
	if err != nil {
		return store.Row{}
	}
	return row
}

func (s *tableService) list(prefix string) []store.Row {
	page, err := s.List(context.Background(), prefix, "", 10_000)
	if err != nil {
		panic(err)
	}
	return page.Rows
}

// committed is the reply to a commit.
type committed struct {
	versions []int64
	err      error
}

// commit sends a transaction to the table, which sends a reply. Either message may
// be lost, and a request that was reported as lost may still arrive.
func (w *simulation) commit(from process, what string, txn store.Txn, done func(committed)) {
	end := once(done)
	lost := func() { end(committed{err: store.ErrUnknownOutcome}) }
	w.post(message{to: w.table, what: what, lost: lost, act: func() {
		reply := committed{err: store.ErrUnavailable}
		if !w.table.out {
			reply.versions, reply.err = w.table.Commit(context.Background(), txn)
			w.noteCommit(txn, reply.err)
		}
		w.post(message{to: from, what: what + " reply", lost: lost, act: func() { end(reply) }})
	}})
}

func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}

func decode[T any](text []byte) T {
	var value T
	if err := json.Unmarshal(text, &value); err != nil {
		panic(err)
	}
	return value
}
