package minion

import (
	"encoding/json"
	"os"
	"slices"
	"sync"

	"github.com/zeebo/errs"
)

// ErrLedger is the class of errors from opening, writing or closing the ledger
// file.
var ErrLedger = errs.Class("ledger")

// ledgerMode is the permission bits of a new ledger file.
const ledgerMode = 0o644

// ledger keeps every task start in memory until the process exits, and writes
// starts and ends to a file if one is configured.
type ledger struct {
	mu     sync.Mutex
	starts []Start
	file   *os.File
}

// openLedger returns a ledger that appends to the file at path, or that has no
// file if path is empty.
func openLedger(path string) (*ledger, error) {
	if path == "" {
		return &ledger{}, nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, ledgerMode)
	if err != nil {
		return nil, ErrLedger.Wrap(err)
	}
	return &ledger{file: file}, nil
}

// recordStart records a task start and returns the ID assigned to it. If it returns an
// error, the start is not recorded in memory and the task must not be started.
func (l *ledger) recordStart(start Start) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	start.ID = int64(len(l.starts)) + 1
	if err := l.append(start); err != nil {
		return 0, err
	}
	l.starts = append(l.starts, start)
	return start.ID, nil
}

// recordEnd records the end time and the status of the task whose start has this ID.
func (l *ledger) recordEnd(id, endNs int64, status int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	start := &l.starts[id-1]
	start.EndNs = endNs
	start.Status = status
	return l.append(*start)
}

// since returns the starts at or after startNs, ordered by ID.
func (l *ledger) since(startNs int64) []Start {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.starts), func(start Start) bool {
		return start.StartNs < startNs
	})
}

func (l *ledger) append(start Start) error {
	if l.file == nil {
		return nil
	}
	line, err := json.Marshal(start)
	if err != nil {
		return ErrLedger.Wrap(err)
	}
	_, err = l.file.Write(append(line, '\n'))
	return ErrLedger.Wrap(err)
}

func (l *ledger) close() error {
	if l.file == nil {
		return nil
	}
	return ErrLedger.Wrap(l.file.Close())
}
