package store

import "context"

// Row is one row of the table service.
type Row struct {
	// Key is not empty and is valid UTF-8.
	Key   string
	Value []byte
	// Version is at least 1 and increases with every write of the row. A row
	// that is deleted and written again gets a higher version than before the
	// deletion.
	Version int64
}

// Condition requires that the row has the given version, or that it does not
// exist when Version is 0.
type Condition struct {
	Key     string
	Version int64
}

// Write sets the value of a row, or deletes the row when Delete is true.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is a transaction. All its writes are applied atomically when all its
// conditions hold, and none otherwise.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Page is one page of a listing. Its rows are in ascending order of their keys.
type Page struct {
	Rows []Row
	// Next is the key from which to list the following page. It is empty on the
	// last page.
	Next string
}

// Table is the platform's transactional table service. Reads are consistent: a
// read reflects every transaction acknowledged before the read was sent.
type Table interface {
	// Get returns the row. It fails with ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// List returns at most limit rows whose keys have the prefix and are not
	// less than from. It fails with ErrUnavailable.
	List(ctx context.Context, prefix, from string, limit int) (Page, error)
	// Commit applies the transaction and returns the new version of each written
	// row in the order of Writes, with 0 for a deletion. It fails with
	// ErrConflict, ErrUnavailable, ErrUnknownOutcome, or with ErrInvalid if the service
	// rejects it for good, such as for its size.
	Commit(ctx context.Context, txn Txn) ([]int64, error)
}
