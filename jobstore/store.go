package jobstore

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"github.com/figring/figring/store"
	"github.com/figring/figring/work"
)

// Error is the class of this package's errors.
var Error = errs.Class("jobstore")

// Partitions is the number of partitions that jobs are spread over. All
// processes of a system use the same number, also over restarts.
const Partitions = 4

const (
	specPrefix = "spec/"
	openPrefix = "open/"
	donePrefix = "done/"
	// listLimit is the number of rows that one read returns at most.
	listLimit = 400
)

// Store reads jobs. Writer writes them.
type Store struct{ tables [Partitions]store.Table }

// New returns a store over the partitions that open returns by number.
func New(openTable func(partition int) store.Table) *Store {
	s := &Store{}
	for partition := range s.tables {
		s.tables[partition] = openTable(partition)
	}
	return s
}

// partitionOf returns the number of a job's partition.
func partitionOf(id work.JobID) int { return int(xxhash.Sum64String(string(id)) % Partitions) }

func (s *Store) tableOf(id work.JobID) store.Table { return s.tables[partitionOf(id)] }

// OpenJob is an open job as it is stored.
type OpenJob struct {
	ID       work.JobID
	Progress Progress
	// Version is that of the row of its progress.
	Version int64
}

// State is what is stored of a job. At most one of its fields is set; none when
// the job is not known.
type State struct {
	Open *OpenJob
	End  *JobEnd
}

// Find returns what is stored of a job.
func (s *Store) Find(ctx context.Context, id work.JobID) (State, error) {
	// A job moves from open to done. It is looked for in that order, and once
	// more in case it moved between the two reads.
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

// AcceptedJob returns a job as it was accepted.
func (s *Store) AcceptedJob(ctx context.Context, id work.JobID) (AcceptedJob, error) {
	row, err := s.tableOf(id).Get(ctx, specPrefix+string(id))
	if err != nil {
		return AcceptedJob{}, Error.Wrap(err)
	}
	var job AcceptedJob
	if err := json.Unmarshal(row.Value, &job); err != nil {
		return AcceptedJob{}, Error.Wrap(err)
	}
	return job, nil
}

// ListOpen returns all open jobs. A row that can't be read is left out and
// counted.
func (s *Store) ListOpen(ctx context.Context) (found []OpenJob, unreadable int, err error) {
	for _, table := range s.tables {
		for from := ""; ; {
			page, err := table.List(ctx, openPrefix, from, listLimit)
			if err != nil {
				return nil, 0, Error.Wrap(err)
			}
			for _, row := range page.Rows {
				job, err := decodeOpen(work.JobID(row.Key[len(openPrefix):]), row)
				if err != nil {
					unreadable++
					continue
				}
				found = append(found, *job)
			}
			if page.Next == "" {
				break
			}
			from = page.Next
		}
	}
	return found, unreadable, nil
}
