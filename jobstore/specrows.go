package jobstore

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/figring/figring/store"
	"github.com/figring/figring/work"
)

// splitSpec is the value of the spec row of a job that does not fit into one row: the
// number of its parts, which have rows of their own. It is an array, so that builds that
// know no parts fail to decode it.
type splitSpec [1]int

// specRows returns the rows of a job as accepted, and the number of parts; 0 if it is not
// split.
func specRows(accepted AcceptedJob, limits Limits) (rows []store.Write, parts int) {
	id, raw := accepted.Job.ID, encode(accepted)
	if len(raw) <= limits.valueBytes() {
		return []store.Write{{Key: specPrefix + string(id), Value: raw}}, 0
	}
	var partRows []store.Write
	for len(raw) > 0 {
		size := min(len(raw), limits.valueBytes())
		partRows = append(partRows, store.Write{Key: partKey(id, len(partRows)), Value: raw[:size]})
		raw = raw[size:]
	}
	head := store.Write{Key: specPrefix + string(id), Value: encode(splitSpec{len(partRows)})}
	return append([]store.Write{head}, partRows...), len(partRows)
}

// partKey returns the key of a part. The keys of a job's parts are in their order.
func partKey(id work.JobID, part int) string { return fmt.Sprintf("%s%s/%03d", partPrefix, id, part) }

// deleteSpec returns the writes that delete the rows of a job as accepted.
func deleteSpec(id work.JobID, parts int) []store.Write {
	writes := []store.Write{{Key: specPrefix + string(id), Delete: true}}
	for part := range parts {
		writes = append(writes, store.Write{Key: partKey(id, part), Delete: true})
	}
	return writes
}

// AcceptedJob returns the job at the time of its acceptance, or an error that wraps
// store.ErrNotFound.
func (s *Store) AcceptedJob(ctx context.Context, id work.JobID) (AcceptedJob, error) {
	row, err := s.tableOf(id).Get(ctx, specPrefix+string(id))
	if err != nil {
		return AcceptedJob{}, Error.Wrap(err)
	}
	raw := row.Value
	var split splitSpec
	if json.Unmarshal(raw, &split) == nil {
		if raw, err = s.joinParts(ctx, id, split[0]); err != nil {
			return AcceptedJob{}, err
		}
	}
	var job AcceptedJob
	if err := json.Unmarshal(raw, &job); err != nil {
		return AcceptedJob{}, Error.Wrap(err)
	}
	// Another writer may have left the row.
	if err := job.Job.Validate(); err != nil || job.Job.ID != id {
		return AcceptedJob{}, Error.New("row of job %q holds no job of that ID that can be run: %v", id, err)
	}
	return job, nil
}

// maxParts is the maximum number of parts that fit into a transaction.
const maxParts = maxTxnOps

// joinParts reads the parts of a job and joins them.
func (s *Store) joinParts(ctx context.Context, id work.JobID, parts int) ([]byte, error) {
	if parts > maxParts {
		return nil, Error.New("job %q has %d parts, want at most %d", id, parts, maxParts)
	}
	var raw []byte
	for part := range parts {
		row, err := s.tableOf(id).Get(ctx, partKey(id, part))
		if err != nil {
			return nil, Error.Wrap(err)
		}
		raw = append(raw, row.Value...)
	}
	return raw, nil
}
