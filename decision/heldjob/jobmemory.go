package heldjob

import "github.com/figring/figring/work"

const (
	// defaultJobBytes is the limit of a Core for which none is set.
	defaultJobBytes = 32 << 20
	// reservedShare is the part of the limit that new jobs leave to those that are taken
	// over, and these to new ones, as a divisor.
	reservedShare = 4
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
// for long must not take all of it, and the jobs of a lost entry must not end the one that
// takes them over.
type jobMemory struct {
	limit int64
	// own is the memory of the jobs that this entry has accepted, and adopted that of jobs
	// taken over from others, both with those that are reserved.
	own, adopted int64
	// reserved are the parts of jobs that are being stored or taken over.
	reserved map[work.JobID]memoryPart
}

// memoryPart is the memory of one job.
type memoryPart struct {
	bytes int64
	// adopted is true for a job taken over from another entry.
	adopted bool
}

func (m *jobMemory) used() int64 { return m.own + m.adopted }

// fitsNew reports whether a new job of the size is accepted.
func (m *jobMemory) fitsNew(bytes int64) bool { return m.fits(bytes, m.own) }

// fitsAdopted reports whether there is memory for a stored job of another entry. New jobs
// can't take all of it, since the adopted ones are owed.
func (m *jobMemory) fitsAdopted(bytes int64) bool {
	guaranteed := m.adopted+bytes <= m.limit/reservedShare && m.used()+bytes <= m.limit
	return guaranteed || m.fits(bytes, m.adopted)
}

// fits reports whether there is memory for a job of one kind, new or adopted, of which
// there are sameKind bytes.
func (m *jobMemory) fits(bytes, sameKind int64) bool {
	free := min(m.limit-m.used(), m.limit-m.limit/reservedShare-sameKind)
	return m.used()+bytes <= m.limit/openShare || bytes <= free/freeShare
}

// count adds the part to the memory in use, or subtracts it if its size is negative.
func (m *jobMemory) count(part memoryPart) {
	if part.adopted {
		m.adopted += part.bytes
		return
	}
	m.own += part.bytes
}

// reserve counts the memory of a job that is not added yet.
func (m *jobMemory) reserve(id work.JobID, part memoryPart) {
	m.release(id)
	m.count(part)
	m.reserved[id] = part
}

// release ends a reservation, if there is one, and returns it.
func (m *jobMemory) release(id work.JobID) memoryPart {
	part := m.reserved[id]
	delete(m.reserved, id)
	m.count(memoryPart{-part.bytes, part.adopted})
	return part
}

// MemoryOf returns the memory in bytes that a job takes while none of its tasks has state.
func MemoryOf(job *work.Job) int64 {
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
func (c *Core) JobMemory() int64 { return c.memory.used() }

// ReserveStored reserves memory in bytes for a stored job of another entry. It reports false
// if there is not enough. AddStoredJob or ReleaseStored must follow.
func (c *Core) ReserveStored(id work.JobID, bytes int64) bool {
	if !c.memory.fitsAdopted(bytes) {
		return false
	}
	c.memory.reserve(id, memoryPart{bytes, true})
	return true
}

// ReleaseStored ends the reservation for a stored job that was not taken over.
func (c *Core) ReleaseStored(id work.JobID) { c.memory.release(id) }

// add adds a job of the size to those of the entry.
func (c *Core) add(added *job, bytes int64) {
	added.memory = memoryPart{bytes, c.memory.release(added.id).adopted}
	c.memory.count(added.memory)
	c.jobs[added.id] = added
}

// remove removes a job from those of the entry.
func (c *Core) remove(removed *job) {
	c.setBlockedSteps(removed, 0)
	c.memory.count(memoryPart{-removed.memory.bytes, removed.memory.adopted})
	delete(c.jobs, removed.id)
}
