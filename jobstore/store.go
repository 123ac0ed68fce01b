package jobstore

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"github.com/figring/figring/store"
	"github.com/figring/figring/work"
)

// Error is the class of this package's errors.
var Error = errs.Class("jobstore")

// Partitions is the number of partitions that jobs are distributed over. It must
// be the same in all processes of a system and across restarts, because stored
// jobs are found by it.
const Partitions = 4

const (
	specPrefix = "spec/"
	openPrefix = "open/"
	donePrefix = "done/"
	partPrefix = "part/"
	// listLimit is the maximum number of rows that one read returns.
	listLimit = 400
	// pageTimeout bounds the read of one page of open jobs: one partition that hangs must
	// not hold up who waits for them.
	pageTimeout = 1500 * time.Millisecond
)

// Store reads stored jobs. Writer writes them.
type Store struct{ tables [Partitions]store.Table }

// New returns a store over the tables that openTable returns for the partitions.
func New(openTable func(partition int) store.Table) *Store {
	s := &Store{}
	for partition := range s.tables {
		s.tables[partition] = openTable(partition)
	}
	return s
}

// partitionOf returns the partition of a job, in [0, Partitions).
func partitionOf(id work.JobID) int { return int(xxhash.Sum64String(string(id)) % Partitions) }

// tableOf returns the table of the job's partition.
func (s *Store) tableOf(id work.JobID) store.Table { return s.tables[partitionOf(id)] }

// OpenJob is the stored state of an open job.
type OpenJob struct {
	ID       work.JobID
	Progress Progress
	// Version is the version of the open row, on which the next write of the job
	// must be conditional.
	Version int64
}

// State is the stored state of a job. At most one of its fields is set; none if
// nothing is stored.
type State struct {
	Open *OpenJob
	End  *JobEnd
}

// Find returns the stored state of a job.
func (s *Store) Find(ctx context.Context, id work.JobID) (State, error) {
	// A job moves from its open row to its done row. The rows are read in that
	// order, and once more in case the job changed between the two reads.
	for range 2 {
		job, err := s.findOpen(ctx, id)
		if err != nil || job != nil {
			return State{Open: job}, err
		}
		end, err := s.findEnd(ctx, id)
		if err != nil || end != nil {
			return State{End: end}, err
		}
	}
	return State{}, nil
}

func (s *Store) findOpen(ctx context.Context, id work.JobID) (*OpenJob, error) {
	row, err := s.tableOf(id).Get(ctx, openPrefix+string(id))
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return decodeOpen(id, row)
}

func decodeOpen(id work.JobID, row store.Row) (*OpenJob, error) {
	job := &OpenJob{ID: id, Version: row.Version}
	if err := json.Unmarshal(row.Value, &job.Progress); err != nil {
		return nil, Error.Wrap(err)
	}
	return job, nil
}

func (s *Store) findEnd(ctx context.Context, id work.JobID) (*JobEnd, error) {
	row, err := s.tableOf(id).Get(ctx, donePrefix+string(id))
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	end := &JobEnd{}
	if err := json.Unmarshal(row.Value, end); err != nil {
		return nil, Error.Wrap(err)
	}
	return end, nil
}

// EachOpen calls visit with each open job, and with the size of its row in bytes. It
// returns the number of rows that it skipped because they don't decode. There may be many
// jobs, so that visit should keep only what it needs.
func (s *Store) EachOpen(ctx context.Context, visit func(job *OpenJob, rowBytes int)) (unreadable int, err error) {
	for _, table := range s.tables {
		for from := ""; ; {
			page, err := listOpen(ctx, table, from)
			if err != nil {
				return 0, Error.Wrap(err)
			}
			for _, row := range page.Rows {
				job, err := decodeOpen(work.JobID(row.Key[len(openPrefix):]), row)
				if err != nil {
					unreadable++
					continue
				}
				visit(job, len(row.Value))
			}
			if page.Next == "" {
				break
			}
			from = page.Next
		}
	}
	return unreadable, nil
}

// listOpen reads one page of the open jobs of a partition.
func listOpen(ctx context.Context, table store.Table, from string) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return table.List(ctx, openPrefix, from, listLimit)
}
