package dispatcher

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/decision/heldjob"
	"github.com/figring/figring/decision/joblease"
	"github.com/figring/figring/jobstore"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// endingRetention is how long the stored end of a job can be queried.
const endingRetention = 3 * time.Minute

// storedJobs stores the jobs of this entry, renews its ownership of them, and
// takes over the jobs of entries that are gone.
type storedJobs struct {
	dispatcher *Dispatcher
	store      *jobstore.Store
	owners     *jobstore.OwnerTable
	writer     *jobstore.Writer

	// renewalNeeded is true once this entry has to renew its owner row, from its
	// first stored job on.
	renewalNeeded atomic.Bool
	// ownersExist is true while any entry has an owner row, so that stored jobs may
	// exist.
	ownersExist atomic.Bool
	// noOwners is true while the entry knows that no entry has an owner row. Until
	// the first read of the rows, ownersExist and noOwners are both false.
	noOwners atomic.Bool
	// renewalStart is closed when renewalNeeded becomes true.
	renewalStart chan struct{}
	// ownCheck records that another entry may have ended jobs of this one.
	ownCheck *ownJobsCheck
	// ownersSeen is what the newest read of the owner rows has shown; nil before the first.
	ownersSeen atomic.Pointer[ownersView]
	// newestScan is the result of the newest scan of the open jobs.
	newestScan atomic.Pointer[jobScan]

	// Only the loop accesses the following fields.

	// generation numbers the owner identities of this process incarnation. A new
	// one begins when the row of the previous one was revoked.
	generation int
	lease      joblease.Lease
	// runGuard decides how long runs go on without a valid lease.
	runGuard joblease.RunGuard
	// awaitingLease are the writes of new jobs that wait for a valid lease.
	awaitingLease []*jobstore.Change
	creating      map[work.JobID]*jobstore.Change
	// versions has the versions of the open rows of this entry's jobs, and parts the
	// number of parts of those that are split.
	versions map[work.JobID]int64
	parts    map[work.JobID]int
	writes   uint64
	endings  []endedJob
}

// endedJob is a job whose end was stored at a time.
type endedJob struct {
	id work.JobID
	at time.Time
}

func newStoredJobs(d *Dispatcher, store *jobstore.Store, owners *jobstore.OwnerTable) *storedJobs {
	s := &storedJobs{
		dispatcher:   d,
		store:        store,
		owners:       owners,
		renewalStart: make(chan struct{}),

		ownCheck: newOwnJobsCheck(),
		creating: make(map[work.JobID]*jobstore.Change),
		versions: make(map[work.JobID]int64),
		parts:    make(map[work.JobID]int),
	}
	s.writer = jobstore.NewWriter(store, s.interval, s.writeFailed)
	return s
}

// interval returns the least time between two transactions of this entry on one
// partition. It keeps all entries together below the write limit of a partition.
func (s *storedJobs) interval() time.Duration {
	const share = 0.8
	entries := len(s.dispatcher.deps.Directory.WithRole(session.RoleEntry))
	return time.Duration(float64(max(entries, 1)) * float64(time.Second) / (share * float64(s.dispatcher.settings.PartitionWritesPerSecond)))
}

func (s *storedJobs) writeFailed(err error) {
	s.dispatcher.deps.Log.Routine(eventlog.KindDependencyLost).Str(eventlog.FieldDependency, "jobs").Err(err).Msg("")
}

func (s *storedJobs) run(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { s.writer.Run(ctx); return nil })
	group.Go(func() error { s.renewLoop(ctx); return nil })
	group.Go(func() error { s.takeOverLoop(ctx); return nil })
	group.Go(func() error { s.guardRunsLoop(ctx); return nil })
	// The goroutines end with ctx and return no errors.
	_ = group.Wait()
}

// self returns the current owner identity of this entry. It must be called from
// the loop.
func (s *storedJobs) self() jobstore.Owner {
	own := s.dispatcher.settings.Self
	return jobstore.Owner{Name: own.Name, Boot: own.Boot + "." + strconv.Itoa(s.generation)}
}

// startRenewal makes the entry renew its owner row from now on.
func (s *storedJobs) startRenewal() {
	if !s.renewalNeeded.Swap(true) {
		close(s.renewalStart)
	}
}

// awaitRenewal waits until this entry has to renew its owner row, or ctx ends.
func (s *storedJobs) awaitRenewal(ctx context.Context) {
	select {
	case <-s.renewalStart:
	case <-ctx.Done():
	}
}

// create stores a new job, or refuses it if it can't be stored. It must be called from
// the loop.
func (s *storedJobs) create(now time.Time, action heldjob.CreateJob) {
	s.startRenewal()
	s.writes++
	id, accepted, generation := action.Job.ID, time.Now(), s.generation
	record := jobstore.AcceptedJob{Job: action.Job, Route: action.Route, Accepted: accepted}
	progress := jobstore.Progress{Owner: s.self(), Write: s.writes, Route: action.Route.Name, Memory: heldjob.MemoryOf(&action.Job), Epoch: session.FirstEpoch}
	change, err := jobstore.Create(record, progress, s.limits(), func(result jobstore.WriteResult) {
		s.dispatcher.loop.Post(func(now time.Time) {
			s.created(now, id, result, accepted, generation)
		})
	})
	if err != nil {
		s.writeFailed(err)
		s.dispatcher.core.CreateRejected(id)
		return
	}
	s.creating[id] = change
	if !s.lease.Valid(now) {
		s.awaitingLease = append(s.awaitingLease, change)
		return
	}
	s.submitCreate(change)
}

// created handles the result of the write of a new job, which was made in a generation of
// this entry. It must be called from the loop.
func (s *storedJobs) created(now time.Time, id work.JobID, result jobstore.WriteResult, accepted time.Time, generation int) {
	if result.Rejected {
		delete(s.creating, id)
		s.dispatcher.core.CreateRejected(id)
		return
	}
	if result.Written {
		s.versions[id] = result.Version
		if parts := s.creating[id].Parts(); parts > 0 {
			s.parts[id] = parts
		}
	}
	delete(s.creating, id)
	s.dispatcher.core.Created(now, id, result.Written, accepted)
	if generation != s.generation {
		s.dispatcher.core.ReacquireJob(id)
	}
}

func (s *storedJobs) limits() jobstore.Limits {
	return jobstore.Limits{RowBytes: s.dispatcher.settings.RowBytes}
}

// submitCreate passes a new job to the writer. If the writer's queue is full, the
// job is refused.
func (s *storedJobs) submitCreate(change *jobstore.Change) {
	if !s.writer.Enqueue(change) && change.Abandon() {
		delete(s.creating, change.ID())
		s.dispatcher.core.CreateAbandoned(change.ID(), true)
	}
}

// abandonAwaitingLease withdraws the new jobs that wait for a valid lease. It must be
// called from the loop.
func (s *storedJobs) abandonAwaitingLease() {
	waiting := s.awaitingLease
	s.awaitingLease = nil
	for _, change := range waiting {
		s.abandon(change.ID())
	}
}

// abandon withdraws a new job that can't be stored in time.
func (s *storedJobs) abandon(id work.JobID) {
	change, ok := s.creating[id]
	if !ok {
		return
	}
	notSent := change.Abandon()
	if notSent {
		delete(s.creating, id)
	}
	s.dispatcher.core.CreateAbandoned(id, notSent)
}

// save stores the progress of a job. It must be called from the loop.
func (s *storedJobs) save(action heldjob.SaveJob) {
	s.writes++
	progress := jobstore.Progress{Owner: s.self(), Write: s.writes, Route: action.Route, Memory: action.Memory, Epoch: action.Epoch, Parts: s.parts[action.Job]}
	for _, task := range action.Progress.Done {
		progress.Done.Add(task.Step, task.Index)
	}
	for task, count := range action.Progress.Failures {
		progress.Failures.Set(task.Step, task.Index, count)
	}
	var crashes jobstore.TaskCounts
	for task, count := range action.Progress.Crashes {
		crashes.Set(task.Step, task.Index, count)
	}
	progress.SetOptional(crashes, action.Progress.Checkpoints, s.limits())
	s.write(action.Job, jobstore.SaveProgress(action.Job, s.versions[action.Job], progress, s.onSaved(action.Job, false)))
}

var outcomes = map[heldjob.Outcome]jobstore.Outcome{
	heldjob.Completed: jobstore.Completed,
	heldjob.Failed:    jobstore.Failed,
	heldjob.Cancelled: jobstore.Cancelled,
}

// end stores how a job has ended. It must be called from the loop.
func (s *storedJobs) end(action heldjob.EndJob) {
	ending := jobstore.JobEnd{Outcome: outcomes[action.Outcome], By: s.self(), At: time.Now(), Epoch: action.Epoch}
	s.write(action.Job, jobstore.End(action.Job, s.versions[action.Job], s.parts[action.Job], ending, s.onSaved(action.Job, true)))
}

// write passes a change of a job to the writer. If the queue of the partition's
// writer is full, the change is not lost but passed again after queueRetry.
func (s *storedJobs) write(id work.JobID, change *jobstore.Change) {
	if s.writer.Enqueue(change) {
		return
	}
	s.dispatcher.deps.Log.Failure(eventlog.KindDependencyLost).Str(eventlog.FieldDependency, "jobs").
		Str(eventlog.FieldJob, string(id)).Str(eventlog.FieldReason, "ring full").Msg("")
	time.AfterFunc(queueRetry, func() {
		s.dispatcher.loop.Post(func(time.Time) { s.write(id, change) })
	})
}

// queueRetry is the pause before a change is passed to a full writer again.
const queueRetry = 100 * time.Millisecond

// onSaved returns the callback for the result of a write of a job. If ended is
// set, the write stores the job's end.
func (s *storedJobs) onSaved(id work.JobID, ended bool) func(jobstore.WriteResult) {
	return func(result jobstore.WriteResult) {
		if result.Rejected {
			s.saveRejected(id)
			return
		}
		s.dispatcher.loop.Post(func(now time.Time) {
			s.versions[id] = result.Version
			if ended || !result.Written {
				delete(s.versions, id)
				delete(s.parts, id)
			}
			if ended && result.Written {
				s.endings = append(s.endings, endedJob{id, now})
			}
			s.dispatcher.core.Saved(id, result.Written)
		})
	}
}

// rejectedRetry is the pause before a job is written again after the table has rejected a
// change of it.
const rejectedRetry = time.Second

// saveRejected handles a change of a job that the table does not accept. Jobs whose rows
// could become too large are not accepted, so that this means that the table's limits
// have changed. The job ends, since its progress can't be kept.
func (s *storedJobs) saveRejected(id work.JobID) {
	s.dispatcher.deps.Log.Failure(eventlog.KindMalformed).Str(eventlog.FieldDependency, "jobs").
		Str(eventlog.FieldJob, string(id)).Str(eventlog.FieldReason, "the table rejects the row").Msg("")
	time.AfterFunc(rejectedRetry, func() {
		s.dispatcher.loop.Post(func(time.Time) { s.dispatcher.core.SaveRejected(id) })
	})
}

// forgetExpired deletes stored ends that are older than endingRetention. It must
// be called from the loop.
func (s *storedJobs) forgetExpired(now time.Time) {
	for len(s.endings) > 0 && now.Sub(s.endings[0].at) > endingRetention {
		change := jobstore.DeleteEnd(s.endings[0].id, func(jobstore.WriteResult) {})
		if !s.writer.Enqueue(change) {
			return
		}
		s.endings = s.endings[1:]
	}
}
