package model

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxTasksPerJob is the largest number of tasks that one job may hold.
const MaxTasksPerJob = 460

// TaskSpec describes one task as its caller declares it.
type TaskSpec struct {
	// Class names a kind of task, such as "eligibility". Histograms and the
	// estimate of run times are kept by caller and class.
	Class string
	// Payload is handed to the minion unchanged.
	Payload []byte
	// DeclaredRun is the caller's own estimate of the run time. It may be far
	// off; zero means unknown.
	DeclaredRun time.Duration
	// DeclaredSize is the caller's own estimate of the memory needed, in bytes.
	DeclaredSize int64
}

// JobSpec describes a job as its caller submits it.
type JobSpec struct {
	Key   JobKey
	Tasks []TaskSpec
	// Idempotent says that the caller accepts a task being run again. Jobs are
	// started at most once regardless; single requests use it for retries.
	Idempotent bool
	// Timeout bounds the time from admission to the answer.
	Timeout time.Duration
}

// Digest returns a 64-bit hash of everything but the key. Two submissions of
// one key with different digests are a conflict, never a resubmission.
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
