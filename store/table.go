package store

import "context"

// Row is one row of the table service.
type Row struct {
	// Key is not empty and is valid UTF-8.
	Key   string
	Value []byte
	// Version is at least 1 and grows with every write of the row. A row that
	// was deleted and written again has a version higher than before.
	Version int64
}

// Condition holds when the row's version equals Version; 0 means absent.
type Condition struct {
	Key     string
	Version int64
}

// Write sets or deletes a row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is applied as a whole when all its conditions hold.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Page is a part of a listing in ascending order of keys.
type Page struct {
	Rows []Row
	// Next is the key to list from for the following page; empty at the end.
	Next string
}

// Table is the platform's transactional table service. A read reflects every
// transaction that was acknowledged before the read was sent.
type Table interface {
	// Get returns the row, or ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// List returns at most limit rows whose keys have the prefix and are not
	// less than from. It returns ErrUnavailable.
	List(ctx context.Context, prefix, from string, limit int) (Page, error)
	// Commit applies the transaction and returns the version given to each
	// written row, in order of Writes (0 for a deletion). It returns
	// ErrConflict, ErrUnavailable or ErrUnknownOutcome.
	Commit(ctx context.Context, txn Txn) ([]int64, error)
}
