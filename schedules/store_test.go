package schedules

import (
	"context"
	"encoding/json"

	"github.com/figring/figring/platform"
	"github.com/figring/figring/platform/memory"
)

// store is the platform's table with outages. It is a process that never ends.
type store struct {
	*memory.Table
	out bool
}

func (s *store) alive() bool { return true }
func (s *store) awake() bool { return true }

// read returns the row of the key; the zero row when there is none.
func (s *store) read(key string) platform.Row {
	row, err := s.Get(context.Background(), key)
	if err != nil {
		return platform.Row{}
	}
	return row
}

func (s *store) list(prefix string) []platform.Row {
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

// commit sends a transaction to the table and its reply back. Either may be
// lost, and a request that counts as lost may still arrive.
func (w *world) commit(from process, what string, txn platform.Txn, done func(committed)) {
	end := once(done)
	lost := func() { end(committed{err: platform.ErrUnknownOutcome}) }
	w.post(message{to: w.store, what: what, lost: lost, act: func() {
		reply := committed{err: platform.ErrUnavailable}
		if !w.store.out {
			reply.versions, reply.err = w.store.Commit(context.Background(), txn)
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
