package dispatcher

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/figring/figring/common/boottime"
	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/decision/heldjob"
	"github.com/figring/figring/decision/keptend"
	"github.com/figring/figring/jobstore"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/link"
	"github.com/figring/figring/work"
)

// adopt takes over jobs of an owner that is gone, once none of their runs is
// active any more. It reports whether the list of the jobs seems to be outdated, because
// runs of them stay active.
func (t *takeover) adopt(ctx context.Context, now time.Time, owner jobstore.Owner, jobs []jobstore.OpenJob) bool {
	t.startRenewal()
	// Every sidecar has to be asked: one that this entry does not know yet may
	// have ends of the jobs.
	if err := t.dispatcher.deps.DiscoverPeers(ctx); err != nil {
		t.writeFailed(err)
		return false
	}
	found, ok := t.collectRuns(ctx, owner, jobs, now.Sub(t.orphanSince[owner]) > openToAllAfter)
	if !ok {
		return found.busy
	}
	t.dropSuperseded(&found, jobs)
	results := make(chan adoptResult, len(jobs))
	asked := 0
	for _, job := range t.reserveMemory(jobs) {
		record, err := t.store.AcceptedJob(ctx, job.ID)
		if err != nil {
			t.writeFailed(err)
			t.releaseMemory(job.ID)
			continue
		}
		asked++
		t.takeOver(record, job, found, func(written bool) { results <- adoptResult{job.ID, written} })
	}
	stored := make(map[string][]session.TaskEnd)
	takenOver := 0
	for range asked {
		select {
		case one := <-results:
			if one.written {
				takenOver++
				for _, end := range found.ends[one.job] {
					stored[end.sidecar] = append(stored[end.sidecar], end.TaskEnd)
				}
			}
		case <-ctx.Done():
			// Jobs that are written later run as well: the callback of takeOver adds
			// them. The sidecars keep the ends.
			return false
		}
	}
	t.dispatcher.deps.Log.Failure(eventlog.KindDependencyRegained).Str(eventlog.FieldDependency, "jobs of "+owner.Name).
		Int(eventlog.FieldCount, takenOver).Msg("")
	t.confirmStored(ctx, owner, stored)
	return false
}

// dropSuperseded drops the ends after which their tasks may have been started again by an
// earlier owner that did not know of them. The sidecars are not told that they are stored, and
// let their lease lapse before they let go of them.
func (t *takeover) dropSuperseded(found *adoptReplies, jobs []jobstore.OpenJob) {
	for i := range jobs {
		id, epoch := jobs[i].ID, jobs[i].Progress.Epoch.FromStore()
		all := found.ends[id]
		found.ends[id] = slices.DeleteFunc(all, func(one foundEnd) bool { return !keptend.IsCurrent(one.TaskEnd, epoch) })
		if dropped := len(all) - len(found.ends[id]); dropped > 0 {
			t.dispatcher.deps.Log.Failure(eventlog.KindEndUncertain).Str(eventlog.FieldJob, string(id)).
				Int(eventlog.FieldCount, dropped).Str(eventlog.FieldReason, "superseded").Msg("")
		}
	}
}

// reserveMemory reserves memory for as many of the jobs as there is room for, the smallest
// first, and returns these. The others stay in the job store.
func (t *takeover) reserveMemory(jobs []jobstore.OpenJob) []jobstore.OpenJob {
	bySize := slices.Clone(jobs)
	slices.SortStableFunc(bySize, func(a, b jobstore.OpenJob) int { return cmp.Compare(memoryOf(&a), memoryOf(&b)) })
	count := 0
	t.dispatcher.loop.Do(func(time.Time) {
		for count < len(bySize) && t.dispatcher.core.ReserveStored(bySize[count].ID, memoryOf(&bySize[count])) {
			count++
		}
	})
	t.waiting += len(jobs) - count
	return bySize[:count]
}

// unknownBytes is the memory that is reserved for a job whose row doesn't tell its size.
const unknownBytes = 64 << 10

// memoryOf returns the memory in bytes that a job will take.
func memoryOf(job *jobstore.OpenJob) int64 {
	if job.Progress.Memory <= 0 {
		return unknownBytes
	}
	return job.Progress.Memory
}

// releaseMemory gives up the memory of a job that is not taken over.
func (t *takeover) releaseMemory(id work.JobID) {
	t.dispatcher.loop.Post(func(time.Time) { t.dispatcher.core.ReleaseStored(id) })
}

// confirmStored tells each sidecar which of the ends that it has told are in the job
// store. A sidecar that can't be reached asks about them again.
func (t *takeover) confirmStored(ctx context.Context, owner jobstore.Owner, stored map[string][]session.TaskEnd) {
	var wait sync.WaitGroup
	for name, ends := range stored {
		sidecar, ok := t.dispatcher.deps.Directory.Get(name)
		if !ok {
			continue
		}
		wait.Go(func() {
			request := session.AdoptRequest{Owner: owner.Name, Boot: processBoot(owner.Boot), Adopter: t.incarnation()}
			request.SetReleased(ends, nil)
			request.ConfirmedEnds = ends
			if _, err := t.callSidecar(ctx, sidecar, request); err != nil {
				t.dispatcher.deps.Log.Failure(eventlog.KindDependencyLost).Str(eventlog.FieldDependency, name).
					Str(eventlog.FieldReason, "not told of stored ends").Err(err).Msg("")
			}
		})
	}
	wait.Wait()
}

// incarnation names this incarnation of the entry to sidecars.
func (t *takeover) incarnation() string {
	self := t.dispatcher.settings.Self
	return self.Name + "/" + self.Boot
}

// adoptResult is the outcome of the takeover of one job.
type adoptResult struct {
	job     work.JobID
	written bool
}

// processBoot returns the process incarnation of an owner's boot, which has a generation
// at its end.
func processBoot(boot string) string {
	if at := strings.LastIndexByte(boot, '.'); at >= 0 {
		return boot[:at]
	}
	return boot
}

// takeOver stores this entry as the owner of a job, together with the ends and
// the checkpoints that the sidecars have reported. If that succeeds, the entry
// runs the job.
func (t *takeover) takeOver(record jobstore.AcceptedJob, job jobstore.OpenJob, found adoptReplies, done func(written bool)) {
	progress := job.Progress
	progress.Memory = heldjob.MemoryOf(&record.Job)
	progress.Epoch = job.Progress.Epoch.AfterTakeover(len(found.missing) == 0)
	for _, one := range found.ends[job.ID] {
		if record.Job.Has(one.Task) {
			progress.AddEnd(one.Task, one.End, one.Attempt)
		}
	}
	checkpoints := progress.CheckpointsByTask(job.ID)
	maps.Copy(checkpoints, found.checkpoints[job.ID])
	progress.SetOptional(progress.Crashes, checkpoints, t.limits())
	t.dispatcher.loop.Do(func(time.Time) {
		t.writes++
		progress.Owner, progress.Write = t.self(), t.writes
	})
	change := jobstore.SaveProgress(job.ID, job.Version, progress, func(result jobstore.WriteResult) {
		done(result.Written)
		if !result.Written {
			t.releaseMemory(job.ID)
			return
		}
		t.dispatcher.loop.Post(func(now time.Time) {
			t.versions[job.ID] = result.Version
			if progress.Parts > 0 {
				t.parts[job.ID] = progress.Parts
			}
			t.dispatcher.core.AddStoredJob(now, heldjob.StoredJob{
				Job: record.Job, Route: record.Route, Accepted: record.Accepted, Epoch: progress.Epoch,
				Done: progress.Done.Has, Failures: progress.Failures.ByTask(&record.Job), Crashes: progress.Crashes.ByTask(&record.Job), Checkpoints: checkpoints,
			})
		})
	})
	if !t.writer.Enqueue(change) {
		done(false)
		t.releaseMemory(job.ID)
	}
}

// collectRuns asks all sidecars for their ends and runs of the jobs until no run
// is active. It also waits for sidecars that do not answer, until they and the owner have
// been gone for adoptPatience. It returns false when ctx ends, when this entry leaves its
// own jobs to others, when a sidecar reports that the owner is alive, or when runs are
// still active after adoptPatience: they may be those of an entry that has taken over the
// jobs meanwhile. The checkpoints are the newest that were reported in any round.
func (t *takeover) collectRuns(ctx context.Context, owner jobstore.Owner, jobs []jobstore.OpenJob, force bool) (adoptReplies, bool) {
	request := session.AdoptRequest{Owner: owner.Name, Boot: processBoot(owner.Boot), Adopter: t.incarnation(), Force: force}
	for _, job := range jobs {
		request.Jobs = append(request.Jobs, job.ID)
	}
	began := boottime.Now()
	var checkpoints map[work.JobID]map[work.TaskKey]work.Checkpoint
	for ctx.Err() == nil && !t.dispatcher.releasing.Load() {
		calledAt := boottime.Now()
		found := t.callSidecars(ctx, &request)
		now := boottime.Now()
		t.unanswered = t.unanswered.record(calledAt, now, found.missing)
		if found.ownerAlive {
			return adoptReplies{}, false
		}
		found.addOlderCheckpoints(checkpoints)
		checkpoints = found.checkpoints
		withinPatience := now.Sub(began) < adoptPatience
		if !found.busy && (!withinPatience || t.leasesExpired(now, owner)) {
			return found, true
		}
		if !withinPatience {
			t.dispatcher.deps.Log.Failure(eventlog.KindDependencyLost).Str(eventlog.FieldDependency, "jobs of "+owner.Name).
				Str(eventlog.FieldReason, "runs are active still").Msg("")
			return found, false
		}
		// For fails only when ctx ends, which the loop condition checks.
		_ = pause.For(ctx, adoptPause)
	}
	return adoptReplies{}, false
}

// leasesExpired reports whether the sidecars that did not answer can have no active run of
// the owner: they and the owner have been gone for adoptPatience. After the loss of several
// owners only the first one waits for a sidecar that is gone for good.
func (t *takeover) leasesExpired(now time.Time, owner jobstore.Owner) bool {
	if len(t.unanswered) == 0 {
		return true
	}
	gone := t.unanswered.since()
	if orphan := t.orphanSince[owner]; orphan.After(gone) {
		gone = orphan
	}
	return now.Sub(gone) >= adoptPatience
}

// adoptReplies combines the replies of the sidecars to an AdoptRequest.
type adoptReplies struct {
	ownerAlive, busy bool
	// missing has the names of the sidecars that did not answer or whose replies were
	// incomplete.
	missing []string
	ends    map[work.JobID][]foundEnd
	// checkpoints are the checkpoints of tasks that are not known to be done.
	checkpoints map[work.JobID]map[work.TaskKey]work.Checkpoint
}

// foundEnd is an end and the name of the sidecar that has it.
type foundEnd struct {
	session.TaskEnd
	sidecar string
}

// add adds the reply of one sidecar.
func (a *adoptReplies) add(sidecar string, reply *session.AdoptReply) {
	a.ownerAlive = a.ownerAlive || reply.OwnerAlive
	a.busy = a.busy || reply.Busy
	for _, one := range reply.Ends {
		a.ends[one.Task.Job] = append(a.ends[one.Task.Job], foundEnd{one, sidecar})
	}
	for _, one := range reply.Checkpoints {
		a.addCheckpoint(one.Task, one.Checkpoint)
	}
}

// addOlderCheckpoints adds checkpoints from an earlier round for the tasks for
// which this round has none.
func (a *adoptReplies) addOlderCheckpoints(older map[work.JobID]map[work.TaskKey]work.Checkpoint) {
	for job, saved := range older {
		for task, checkpoint := range saved {
			if _, newer := a.checkpoints[job][task]; !newer {
				a.addCheckpoint(task, checkpoint)
			}
		}
	}
}

func (a *adoptReplies) addCheckpoint(task work.TaskKey, checkpoint work.Checkpoint) {
	if a.checkpoints[task.Job] == nil {
		a.checkpoints[task.Job] = make(map[work.TaskKey]work.Checkpoint)
	}
	a.checkpoints[task.Job][task] = checkpoint
}

// callSidecars sends the request to all known sidecars concurrently.
func (t *takeover) callSidecars(ctx context.Context, request *session.AdoptRequest) adoptReplies {
	replies := adoptReplies{
		ends:        make(map[work.JobID][]foundEnd),
		checkpoints: make(map[work.JobID]map[work.TaskKey]work.Checkpoint),
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, sidecar := range t.dispatcher.deps.Directory.WithRole(session.RoleSidecar) {
		wait.Go(func() {
			reply, err := t.callSidecar(ctx, sidecar, *request)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || reply.Incomplete {
				replies.missing = append(replies.missing, sidecar.Name)
				return
			}
			replies.add(sidecar.Name, &reply)
		})
	}
	wait.Wait()
	return replies
}

func (t *takeover) callSidecar(ctx context.Context, sidecar session.Peer, request session.AdoptRequest) (session.AdoptReply, error) {
	request.Sidecar = sidecar.Name
	var reply session.AdoptReply
	err := link.CallOnce(ctx, sidecar.Address, t.dispatcher.settings.Secret, session.MethodAdopt, &request, &reply, adoptTimeout)
	return reply, err
}
