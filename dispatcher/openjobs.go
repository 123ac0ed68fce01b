package dispatcher

import (
	"maps"

	"github.com/figring/figring/jobstore"
	"github.com/figring/figring/work"
)

const (
	// maxOrphanBytes bounds the rows of orphans that one scan keeps. The next scan finds the
	// others once these have been taken over.
	maxOrphanBytes = 4 << 20
	// orphanBytes is added to the size of a row for what an orphan takes beside it.
	orphanBytes = 512
)

// openJobs is what a scan keeps of the open jobs of all entries.
type openJobs struct {
	// owned are the jobs that this entry ran before the scan; true for those that are open.
	owned       map[work.JobID]bool
	mayBeOrphan func(jobstore.Owner) bool
	// orphans are the jobs of owners that are gone, of which the rows take bytes. overflow
	// counts those that are not kept.
	orphans  map[jobstore.Owner][]jobstore.OpenJob
	bytes    int
	overflow orphanCount
}

// newOpenJobs returns a scan that has found nothing. This entry runs the owned jobs.
func newOpenJobs(owned []work.JobID, mayBeOrphan func(jobstore.Owner) bool) *openJobs {
	found := &openJobs{
		owned: make(map[work.JobID]bool, len(owned)), mayBeOrphan: mayBeOrphan,
		orphans: make(map[jobstore.Owner][]jobstore.OpenJob), overflow: make(orphanCount),
	}
	for _, id := range owned {
		found.owned[id] = false
	}
	return found
}

// add adds an open job whose row has a size of rowBytes.
func (o *openJobs) add(job *jobstore.OpenJob, rowBytes int) {
	if _, owned := o.owned[job.ID]; owned {
		o.owned[job.ID] = true
	}
	owner := job.Progress.Owner
	if !o.mayBeOrphan(owner) {
		return
	}
	o.bytes += rowBytes + orphanBytes
	if o.bytes > maxOrphanBytes {
		o.overflow.add(owner, job)
		return
	}
	o.orphans[owner] = append(o.orphans[owner], *job)
}

// ended returns the owned jobs that are not open any more.
func (o *openJobs) ended() []work.JobID {
	var ended []work.JobID
	for id, open := range o.owned {
		if !open {
			ended = append(ended, id)
		}
	}
	return ended
}

// dropOwn drops jobs that this entry has taken over or accepted under the identity.
func (o *openJobs) dropOwn(self jobstore.Owner, own map[work.JobID]bool) {
	delete(o.orphans, self)
	for owner, jobs := range o.orphans {
		kept := jobs[:0]
		for _, job := range jobs {
			if !own[job.ID] {
				kept = append(kept, job)
			}
		}
		o.orphans[owner] = kept
	}
	maps.DeleteFunc(o.orphans, func(_ jobstore.Owner, jobs []jobstore.OpenJob) bool { return len(jobs) == 0 })
}

// jobScan returns the result for counts of pending jobs, beside the given identities of the
// owners that are not gone, by name.
func (o *openJobs) jobScan(owners map[string]string) *jobScan {
	scan := newJobScan(owners, o.orphans)
	for key, count := range o.overflow {
		scan.orphaned[key.owner] = true
		if !key.begun {
			scan.pending[key.route] += count
		}
	}
	return scan
}

// orphanKey identifies the orphans that count together.
type orphanKey struct {
	owner jobstore.Owner
	route string
	begun bool
}

// orphanCount counts orphans that a scan doesn't keep.
type orphanCount map[orphanKey]int

func (c orphanCount) add(owner jobstore.Owner, job *jobstore.OpenJob) {
	c[orphanKey{owner, job.Progress.Route, job.Progress.Begun()}]++
}

// jobs returns the number of all of them.
func (c orphanCount) jobs() int {
	total := 0
	for _, count := range c {
		total += count
	}
	return total
}
