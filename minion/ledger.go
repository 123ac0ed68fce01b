package minion

import (
	"encoding/json"
	"os"
	"slices"
	"sync"

	"github.com/zeebo/errs"
)

// ErrLedger reports that the ledger's file can't be written.
var ErrLedger = errs.Class("ledger")

// ledgerMode is the mode of a new ledger file.
const ledgerMode = 0o644

// ledger records every start for the life of the process.
type ledger struct {
	mu     sync.Mutex
	starts []Start
	file   *os.File
}

// openLedger returns a ledger that appends to the file at path, if any.
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

// begin records a start and gives it its ID. After an error nothing is
// recorded, and the task must not be started.
func (l *ledger) begin(start Start) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	start.ID = int64(len(l.starts)) + 1
	if err := l.append(start); err != nil {
		return 0, err
	}
	l.starts = append(l.starts, start)
	return start.ID, nil
}

// end records the end of the start called id.
func (l *ledger) end(id, endNs int64, status int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	start := &l.starts[id-1]
	start.EndNs = endNs
	start.Status = status
	return l.append(*start)
}

// since returns the starts that are not before startNs, in order of ID.
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
