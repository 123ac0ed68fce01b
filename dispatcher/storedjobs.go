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

// endingRetention is how long the end of a job can be asked for.
const endingRetention = 3 * time.Minute

// storedJobs stores the jobs of this entry and takes over those of entries that are
// gone.
type storedJobs struct {
	dispatcher *Dispatcher
	store      *jobstore.Store
	owners     *jobstore.Owners
	writer     *jobstore.Writer

	// renewalNeeded is true once this entry has had a stored job: it has to renew its
	// row then.
	renewalNeeded atomic.Bool
	// ownersExist is true while any entry has a row: stored jobs may exist.
	ownersExist atomic.Bool
	// noOwners is true while the entry knows that no entry has a row.
	noOwners     atomic.Bool
	renewalStart chan struct{}
	// pendingOrphans counts the jobs of owners that are gone and that nobody has taken
	// over yet, of which nothing has run, by route.
	pendingOrphans atomic.Pointer[map[string]int]

	// The loop alone uses the following.

	// generation counts the generation of the owner within this life of the process; each
	// begins after the former one was revoked.
	generation int
	lease      joblease.Lease
	// awaitingLease are new jobs that wait for the first renewal.
	awaitingLease []*jobstore.Change
	creating      map[work.JobID]*jobstore.Change
	versions      map[work.JobID]int64
	writes        uint64
	endings       []endedJob
}

// endedJob is a job whose end is stored.
type endedJob struct {
	id work.JobID
	at time.Time
}

func newStoredJobs(d *Dispatcher, store *jobstore.Store, owners *jobstore.Owners) *storedJobs {
	k := &storedJobs{
		dispatcher:   d,
		store:        store,
		owners:       owners,
		renewalStart: make(chan struct{}, 1),
		creating:     make(map[work.JobID]*jobstore.Change),
		versions:     make(map[work.JobID]int64),
	}
	k.writer = jobstore.NewWriter(store, k.interval, k.writeFailed)
	return k
}

// interval returns the least time between two transactions of this entry on a
// partition: all entries together stay below what a partition takes.
func (k *storedJobs) interval() time.Duration {
	const share = 0.8
	entries := len(k.dispatcher.deps.Directory.WithRole(session.RoleEntry))
	return time.Duration(float64(max(entries, 1)) * float64(time.Second) / (share * float64(k.dispatcher.settings.PartitionWritesPerSecond)))
}

func (k *storedJobs) writeFailed(err error) {
	k.dispatcher.deps.Log.Routine(eventlog.KindLost).Str(eventlog.FieldName, "jobs").Err(err).Msg("")
}

func (k *storedJobs) run(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { k.writer.Run(ctx); return nil })
	group.Go(func() error { k.renewLoop(ctx); return nil })
	group.Go(func() error { k.takeOverLoop(ctx); return nil })
	// The duties end with ctx and return no errors.
	_ = group.Wait()
}

// self returns the owner that this entry is at present. The loop alone calls it.
func (k *storedJobs) self() jobstore.Owner {
	own := k.dispatcher.settings.Self
	return jobstore.Owner{Name: own.Name, Boot: own.Boot + "." + strconv.Itoa(k.generation)}
}

// startRenewal makes the entry renew its row from now on.
func (k *storedJobs) startRenewal() {
	if !k.renewalNeeded.Swap(true) {
		select {
		case k.renewalStart <- struct{}{}:
		default:
		}
	}
}

// create stores a new job. The loop alone calls it.
func (k *storedJobs) create(now time.Time, action heldjob.CreateJob) {
	k.startRenewal()
	k.writes++
	id, accepted, generation := action.Job.ID, time.Now(), k.generation
	record := jobstore.Record{Job: action.Job, Route: action.Route, Accepted: accepted}
	change := jobstore.Create(record, jobstore.Progress{Owner: k.self(), Write: k.writes, Route: action.Route.Name}, func(result jobstore.Result) {
		k.dispatcher.loop.Post(func(now time.Time) {
			delete(k.creating, id)
			k.versions[id] = result.Version
			k.dispatcher.core.Created(now, id, result.Written, accepted)
			if generation != k.generation {
				k.dispatcher.core.ReacquireJob(id)
			}
		})
	})
	k.creating[id] = change
	if !k.lease.Valid(now) {
		k.awaitingLease = append(k.awaitingLease, change)
		return
	}
	k.submitCreate(change)
}

// submitCreate hands a new job to the writer, or refuses it.
func (k *storedJobs) submitCreate(change *jobstore.Change) {
	if !k.writer.Put(change) && change.Abandon() {
		delete(k.creating, change.ID())
		k.dispatcher.core.CreateAbandoned(change.ID(), true)
	}
}

// abandon takes a new job back that can't be stored in time.
func (k *storedJobs) abandon(id work.JobID) {
	change, ok := k.creating[id]
	if !ok {
		return
	}
	notSent := change.Abandon()
	if notSent {
		delete(k.creating, id)
	}
	k.dispatcher.core.CreateAbandoned(id, notSent)
}

// save stores how far a job has come. The loop alone calls it.
func (k *storedJobs) save(action heldjob.SaveJob) {
	k.writes++
	progress := jobstore.Progress{Owner: k.self(), Write: k.writes, Route: action.Route}
	for _, task := range action.Progress.Done {
		progress.Done.Add(task.Step, task.Index)
	}
	for task, count := range action.Progress.Failures {
		progress.Failures.Set(task.Step, task.Index, count)
	}
	progress.Checkpoints = jobstore.Checkpoints(action.Progress.Checkpoints)
	k.write(action.Job, jobstore.Save(action.Job, k.versions[action.Job], progress, k.onSaved(action.Job, false)))
}

var outcomes = map[heldjob.Outcome]jobstore.Outcome{
	heldjob.Completed: jobstore.Completed,
	heldjob.Failed:    jobstore.Failed,
	heldjob.Cancelled: jobstore.Cancelled,
}

// end stores how a job has ended. The loop alone calls it.
func (k *storedJobs) end(action heldjob.EndJob) {
	ending := jobstore.Ending{Outcome: outcomes[action.Outcome], By: k.self(), At: time.Now()}
	k.write(action.Job, jobstore.End(action.Job, k.versions[action.Job], ending, k.onSaved(action.Job, true)))
}

// write hands a change of a job to the writer. Nothing is lost when its ring is
// full: the writer of a partition this far behind gets the change later.
func (k *storedJobs) write(id work.JobID, change *jobstore.Change) {
	if k.writer.Put(change) {
		return
	}
	k.dispatcher.deps.Log.Failure(eventlog.KindLost).Str(eventlog.FieldName, "jobs").
		Str(eventlog.FieldJob, string(id)).Str(eventlog.FieldReason, "ring full").Msg("")
	time.AfterFunc(queueRetry, func() {
		k.dispatcher.loop.Post(func(time.Time) { k.write(id, change) })
	})
}

// queueRetry is the pause before a change is handed in again.
const queueRetry = 100 * time.Millisecond

// onSaved returns what takes the result of a write of a job.
func (k *storedJobs) onSaved(id work.JobID, ended bool) func(jobstore.Result) {
	return func(result jobstore.Result) {
		k.dispatcher.loop.Post(func(now time.Time) {
			k.versions[id] = result.Version
			if ended || !result.Written {
				delete(k.versions, id)
			}
			if ended && result.Written {
				k.endings = append(k.endings, endedJob{id, now})
			}
			k.dispatcher.core.Saved(id, result.Written)
		})
	}
}

// forgetExpired drops the ends that nobody asks for any more. The loop alone calls it.
func (k *storedJobs) forgetExpired(now time.Time) {
	for len(k.endings) > 0 && now.Sub(k.endings[0].at) > endingRetention {
		change := jobstore.Forget(k.endings[0].id, func(jobstore.Result) {})
		if !k.writer.Put(change) {
			return
		}
		k.endings = k.endings[1:]
	}
}
