package model

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxTasksPerJob is the largest number of tasks in one job.
const MaxTasksPerJob = 460

// TaskSpec describes one task as declared by the caller.
type TaskSpec struct {
	// Class is the kind of task, such as "eligibility". Histograms and run time
	// estimates are kept per caller and class.
	Class string
	// Payload is passed to the minion unchanged.
	Payload []byte
	// DeclaredRun is the caller's own estimate of the run time. It may be very
	// inaccurate; zero means unknown.
	DeclaredRun time.Duration
	// DeclaredSize is the caller's own estimate of the memory needed, in bytes.
	DeclaredSize int64
}

// JobSpec describes a job as submitted by the caller.
type JobSpec struct {
	Key   JobKey
	Tasks []TaskSpec
	// Idempotent means that the caller accepts that a task may run more than once.
	// Tasks of jobs are started at most once regardless; single requests use
	// Idempotent to allow retries.
	Idempotent bool
	// Timeout bounds the time from admission to the answer.
	Timeout time.Duration
}

// Digest returns a 64-bit hash of everything but the key. A submission of a known
// key with a different digest is a conflict, not a resubmission.
func (s JobSpec) Digest() uint64 {
	digest := xxhash.New()
	var scratch [8]byte
	number := func(n int64) {
		binary.LittleEndian.PutUint64(scratch[:], uint64(n))
		_, _ = digest.Write(scratch[:])
	}
	number(int64(len(s.Tasks)))
	for _, task := range s.Tasks {
		number(int64(len(task.Class)))
		_, _ = digest.WriteString(task.Class)
		number(int64(len(task.Payload)))
		_, _ = digest.Write(task.Payload)
		number(int64(task.DeclaredRun))
		number(task.DeclaredSize)
	}
	if s.Idempotent {
		number(1)
	} else {
		number(0)
	}
	number(int64(s.Timeout))
	return digest.Sum64()
}
