package heldjob

import (
	"maps"
	"slices"
	"time"

	"github.com/figring/figring/decision/classload"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

const (
	// classQueueDelay is the queue delay of a class for each class of its service that
	// is more urgent. It lets an urgent task that has just arrived start before a long
	// one that has waited for half a second.
	classQueueDelay = 400 * time.Millisecond
	// maxQueueDelay bounds the queue delay, and with it the time for which more urgent
	// tasks overtake a waiting one.
	maxQueueDelay = 1200 * time.Millisecond
)

// SetClassScheduling sets whether classes of services have an order. A class is all
// routes of a service with one priority.
func (c *Core) SetClassScheduling(on bool) {
	c.classScheduling = on
	c.setClasses()
}

// setClasses collects the priorities of the services whose routes have different ones.
func (c *Core) setClasses() {
	classes := make(map[string][]int)
	if c.classScheduling && c.snapshot.Manifest != nil {
		for _, route := range c.snapshot.Manifest.Routes {
			priorities := classes[route.Service]
			if at, found := slices.BinarySearch(priorities, route.Priority); !found {
				classes[route.Service] = slices.Insert(priorities, at, route.Priority)
			}
		}
	}
	maps.DeleteFunc(classes, func(_ string, priorities []int) bool { return len(priorities) < 2 })
	c.classes = classes
	c.classLoad.SetClasses(classes)
}

// queueDelayOf returns the queue delay of the job's tasks, 0 for a stored job.
func (c *Core) queueDelayOf(job *job) time.Duration {
	if job.stored != nil {
		return 0
	}
	moreUrgent := max(slices.Index(c.classes[job.route.Service], job.route.Priority), 0)
	return min(time.Duration(moreUrgent)*classQueueDelay, maxQueueDelay)
}

func classOf(job *job) classload.Class {
	return classload.Class{Service: job.route.Service, Priority: job.route.Priority}
}

// declaredWork returns the work of the job by its declared run times, in thousandths of a
// core times seconds, and the CPU need of all its tasks in thousandths of a core.
func (j *job) declaredWork() (declared float64, milliCPU int64) {
	for _, step := range j.steps {
		need := int64(step.Count) * step.Need.MilliCPU
		milliCPU += need
		declared += float64(need) * step.Estimate.Seconds()
	}
	return declared, milliCPU
}

// admitClass records the work that a new job offers, and decides whether the job may be
// placed. While the entry is settling, it does not know the capacity and sheds nothing.
func (c *Core) admitClass(now time.Time, job *job) classload.Admission {
	if len(c.classes) == 0 {
		return classload.Admission{}
	}
	c.refreshClasses(now)
	declared, milliCPU := job.declaredWork()
	job.classWork = c.classLoad.Offer(now, classOf(job), declared)
	if c.Settling(now) {
		return classload.Unlimited(classOf(job), job.classWork)
	}
	return c.classLoad.Admit(now, classOf(job), job.id, job.classWork, milliCPU)
}

// wouldShed reports whether admitClass would shed the job. It sets the job's classWork and
// records nothing.
func (c *Core) wouldShed(now time.Time, job *job) bool {
	declared, milliCPU := job.declaredWork()
	job.classWork = c.classLoad.Corrected(now, classOf(job), declared)
	return !c.Settling(now) && c.classLoad.WouldShed(now, classOf(job), job.id, milliCPU)
}

// expectRetry returns what retryAfter would return if the job were refused now, and
// promises nothing.
func (c *Core) expectRetry(now time.Time, job *job, wait time.Duration) time.Duration {
	if after, ok := c.classLoad.ExpectRetry(now, classOf(job), job.id, job.classWork); ok {
		return after
	}
	return max(minRetryAfter, wait)
}

// retryAfter returns when a job that is refused for a lack of capacity should come again.
// The wait is the expected one of a job that was planned.
func (c *Core) retryAfter(now time.Time, job *job, wait time.Duration) time.Duration {
	if after, ok := c.classLoad.RetryAfter(now, classOf(job), job.id, job.classWork); ok {
		return after
	}
	return max(minRetryAfter, wait)
}

// refreshClasses divides the capacity among the classes if that is due.
func (c *Core) refreshClasses(now time.Time) {
	if !c.classLoad.RefreshDue(now) {
		return
	}
	fleet := classload.Fleet{Entries: c.knownEntries, KnownSidecars: c.knownSidecars}
	for _, candidate := range c.candidates {
		if c.usableForClasses(candidate.Name) {
			fleet.Sidecars = append(fleet.Sidecars, classload.Sidecar{
				Name: candidate.Name, Service: candidate.State.Minion.Service,
				Capacity: candidate.State.Minion.Capacity.MilliCPU, Free: candidate.Unqueued(),
			})
		}
	}
	c.classLoad.Refresh(now, &fleet)
}

// usableForClasses reports whether the sidecar's capacity counts.
func (c *Core) usableForClasses(name string) bool {
	candidate := c.sidecars[name].candidate
	return candidate.State.Accepting && !candidate.State.Suspect && !c.snapshot.Evacuated(candidate.Zone)
}

// SetKnownEntries records the number of entries that are known, this one included.
func (c *Core) SetKnownEntries(count int) { c.knownEntries = count }

// ClassLoadFor returns the load to tell a sidecar; nil without classes.
func (c *Core) ClassLoadFor(now time.Time, name string) session.ClassLoad {
	sidecar, ok := c.sidecars[name]
	if !ok || len(c.classes) == 0 || !c.usableForClasses(name) {
		return nil
	}
	minion, capacity := &sidecar.candidate.State.Minion, int64(0)
	for _, candidate := range c.candidates {
		if candidate.State.Minion.Service == minion.Service && c.usableForClasses(candidate.Name) {
			capacity += candidate.State.Minion.Capacity.MilliCPU
		}
	}
	return c.classLoad.LoadFor(now, minion.Service, float64(minion.Capacity.MilliCPU)/float64(max(capacity, 1)))
}

// ClassLoadAnswered records the sum that a sidecar has told; nil for none.
func (c *Core) ClassLoadAnswered(now time.Time, name string, load session.ClassLoad) {
	c.classLoad.Answered(now, name, load)
}

// ClassStats returns the load of each class, for metrics.
func (c *Core) ClassStats(now time.Time) []classload.Stats { return c.classLoad.Stats(now) }

// ClassChanges returns the changes of the services' state since the last call.
func (c *Core) ClassChanges() []classload.Change { return c.classLoad.TakeChanges() }

// recordRunTime records the measured run time of a task that is done.
func (c *Core) recordRunTime(now time.Time, job *job, placed *task, end work.End, took time.Duration) {
	if len(c.classes) == 0 || job.stored != nil || end != work.EndDone {
		return
	}
	step := job.steps[placed.step]
	c.classLoad.RunEnded(now, classOf(job), step.Need.MilliCPU, step.Estimate, took)
}
