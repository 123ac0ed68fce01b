package heldjob

import "github.com/figring/figring/work"

const (
	// defaultJobBytes is the limit of a Core for which none is set.
	defaultJobBytes = 32 << 20
	// adoptedShare is the part of the limit that is kept from jobs that are taken over, as
	// a divisor: the jobs of a lost entry must not keep new ones out.
	adoptedShare = 4
	// openShare is the part of the limit up to which any job is accepted, as a divisor.
	openShare = 2
	// freeShare is the part of the free memory that a job may take beyond that, as a
	// divisor. Jobs that take much are thus refused before small ones.
	freeShare = 8
)

// The memory in bytes of a job and of its parts, with what is written to the job store.
const (
	jobBytes = 2 << 10
	// stepBytes includes the step in the row that is being written.
	stepBytes = 512
	// afterBytes is the memory of the number of an earlier step.
	afterBytes = 16
	// taskStateBytes is the memory of a task with state.
	taskStateBytes = 256
	// doneTasksPerByte is the number of tasks in a byte of a set of tasks.
	doneTasksPerByte = 8
	// textCopies is the number of copies of a text: the job's and that in the row.
	textCopies = 2
)

// jobMemory counts the memory of the jobs of an entry: a caller that submits jobs that wait
// for long must not take all of it.
type jobMemory struct {
	limit, used int64
	// reserved is the memory of jobs that are being stored or taken over.
	reserved map[work.JobID]int64
}

// fitsNew reports whether a new job of the size is accepted.
func (m *jobMemory) fitsNew(bytes int64) bool {
	return m.used+bytes <= m.limit/openShare || bytes <= (m.limit-m.used)/freeShare
}

// fitsAdopted reports whether there is memory for a stored job of another entry.
func (m *jobMemory) fitsAdopted(bytes int64) bool {
	return m.used+bytes <= m.limit-m.limit/adoptedShare
}

// reserve counts the memory of a job that is not added yet.
func (m *jobMemory) reserve(id work.JobID, bytes int64) {
	m.used += bytes - m.reserved[id]
	m.reserved[id] = bytes
}

// release ends a reservation, if there is one.
func (m *jobMemory) release(id work.JobID) {
	m.used -= m.reserved[id]
	delete(m.reserved, id)
}

// memoryOf returns the memory that a job takes while none of its tasks has state.
func memoryOf(job *work.Job) int64 {
	bytes := int64(jobBytes) + textCopies*int64(len(job.ID)+len(job.Spec))
	for i := range job.Steps {
		step := &job.Steps[i]
		bytes += stepBytes + afterBytes*int64(len(step.After)) + int64(step.Count)/doneTasksPerByte
		bytes += textCopies * int64(len(step.Label)+len(step.Rack)+len(step.Image))
	}
	return bytes
}

// SetJobMemory sets the memory in bytes that the jobs of the entry may take.
func (c *Core) SetJobMemory(limit int64) { c.memory.limit = limit }

// JobMemory returns the memory in bytes that the jobs of the entry take.
func (c *Core) JobMemory() int64 { return c.memory.used }

// ReserveStored reserves memory for a stored job of another entry. It reports false if there
// is not enough. AddStoredJob or ReleaseStored must follow.
func (c *Core) ReserveStored(job *work.Job) bool {
	bytes := memoryOf(job)
	if !c.memory.fitsAdopted(bytes) {
		return false
	}
	c.memory.reserve(job.ID, bytes)
	return true
}

// ReleaseStored ends the reservation for a stored job that was not taken over.
func (c *Core) ReleaseStored(id work.JobID) { c.memory.release(id) }

// add adds a job to those of the entry.
func (c *Core) add(added *job, bytes int64) {
	c.memory.release(added.id)
	added.bytes = bytes
	c.memory.used += bytes
	c.jobs[added.id] = added
}

// remove removes a job from those of the entry.
func (c *Core) remove(removed *job) {
	c.setBlockedSteps(removed, 0)
	c.memory.used -= removed.bytes
	delete(c.jobs, removed.id)
}
