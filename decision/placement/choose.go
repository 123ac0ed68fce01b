package placement

import (
	"math/rand/v2"
	"time"

	"github.com/figring/figring/decision/interference"
	"github.com/figring/figring/work"
)

const (
	// otherZoneCost is the extra time of a task in another availability zone.
	otherZoneCost = 3 * time.Millisecond
	// utilizationCost is added in proportion to the used share of a minion's
	// capacity, so that tasks spread over equally good minions.
	utilizationCost = 12 * time.Millisecond
	// maxJitter bounds a random cost, which keeps entries that know the same
	// states from all choosing the same minion.
	maxJitter = 4 * time.Millisecond
	// maxNormalPace is the run time as a multiple of the estimate up to which a
	// minion counts as normally fast. The bound is wide because racks differ by
	// some tens of percent and estimates are far off.
	maxNormalPace = 1.8
	// paceCost is multiplied by the pace of the minion: it is added for each
	// whole estimate that a run takes.
	paceCost = 10 * time.Millisecond
	// otherRackFactor is the extra time of a task whose data is on another rack,
	// as a fraction of its estimate.
	otherRackFactor = 0.5
	// colocationBonus is subtracted for a minion that another task of the same
	// job is placed at, because tasks at the same minion share messages.
	colocationBonus = 6 * time.Millisecond
	// togetherBonus is subtracted too if the tasks of the job should be together.
	togetherBonus = 60 * time.Millisecond
	// lateStartCost is added for a candidate where the expected wait exceeds the
	// task's MaxWait.
	lateStartCost = 20 * time.Second
)

// Task is a task to place.
type Task struct {
	Service string
	// Route is the name of the job's route.
	Route string
	// Kind is the entry's index of the kind of the task, if kinds are kept apart.
	Kind     int
	Need     work.Resources
	Estimate time.Duration
	// Slack is how long the task may wait before its job misses its objective.
	Slack time.Duration
	// QueueDelay is the queue delay of the task, see session.StartTask.
	QueueDelay time.Duration
	// MaxWait is how long the task may wait for capacity.
	MaxWait time.Duration
	// JobSidecars names the sidecars that other tasks of the same job are
	// placed at.
	JobSidecars map[string]bool
	// Label is a label that the minion must have; empty if none is required.
	Label string
	// Rack is the label of the rack that holds the task's data; empty if the
	// rack does not matter.
	Rack string
	// AtStepLimit reports whether a sidecar has the largest number of tasks of
	// the step that it may get; nil if there is no limit.
	AtStepLimit func(sidecar string) bool
	// Allowed reports whether a sidecar may get the task; nil if each one may.
	Allowed func(sidecar string) bool
	// Together means that the tasks of the job should be at the same minion even if they
	// start later there.
	Together bool
	// Pause is the time for which the task keeps its minion from starting others.
	Pause time.Duration
	// Failures is the number of runs of the task that have failed. A task with any
	// is a trial task of a suspect minion only if no other minion may run it.
	Failures int
	// LastAttempt means that the next failure of the task fails its job.
	LastAttempt bool
	// trialAllowed means that the task may be the trial task of a suspect minion.
	trialAllowed bool
}

// QueueSlack is the slack by which the task is queued at a sidecar.
func (t *Task) QueueSlack() time.Duration { return t.Slack + t.QueueDelay }

// Choice is the candidate chosen for one task.
type Choice struct {
	Candidate *Candidate
	// Wait is the expected time until the task starts.
	Wait time.Duration
	// KeptApart means that another candidate would have been chosen if kinds of tasks did
	// not slow each other down.
	KeptApart bool
	// AwaitsTrial means that no candidate may get the task, but that one could if its minion
	// were not suspect.
	AwaitsTrial bool
	// Full means that no candidate may get the task, but that one could if it had fewer.
	Full bool
	// Assessed holds the candidates that were compared if Chooser.Explained was above 0.
	Assessed []Assessed
}

// Chooser chooses the candidate with the least cost for a task. If it allows for run times
// or interference, a candidate where the wait is within the task's MaxWait comes first.
type Chooser struct {
	// Zone is the entry's own availability zone.
	Zone string
	// Evacuated reports whether an availability zone is evacuated and gets no
	// new tasks.
	Evacuated func(zone string) bool
	// Random is the source of the jitter in the costs.
	Random *rand.Rand
	// EstimateRunTimes means that the costs allow for the run times and failures that
	// sidecars report.
	EstimateRunTimes bool
	// Interference says which kinds of tasks slow each other down; nil if they are not
	// kept apart.
	Interference *interference.Costs
	// Explained is the number of choices to come that return the compared candidates.
	Explained int
	// ignoreOld means that the present choice ignores pairs with old evidence.
	ignoreOld bool
}

// avoidedCost is added for a candidate that the caller of Choose wants avoided,
// such as one at which the task has failed before.
const avoidedCost = 5 * time.Second

// Choose returns the best candidate for the task. It returns false if no
// candidate may run it. The avoided candidates, by name, cost avoidedCost more,
// so that they are chosen only when every other one is far worse.
func (c *Chooser) Choose(candidates []*Candidate, task Task, avoided map[string]bool) (Choice, bool) {
	c.ignoreOld = c.triesOldPairs()
	task.trialAllowed = task.Failures == 0
	best, found := c.chooseAmong(candidates, &task, avoided)
	if !found && !task.trialAllowed {
		// A suspect minion is trusted again only after a run that is done. If all tasks
		// that wait for it have failed before, one of them has to be its trial task.
		task.trialAllowed = true
		best, found = c.chooseAmong(candidates, &task, avoided)
	}
	c.Explained = max(c.Explained-1, 0)
	return best, found
}

func (c *Chooser) chooseAmong(candidates []*Candidate, task *Task, avoided map[string]bool) (Choice, bool) {
	best, bestRank, found := Choice{}, rank{}, false
	var compared []Assessed
	suspect, full := false, false
	unseparated, unseparatedRank := (*Candidate)(nil), rank{}
	for _, candidate := range candidates {
		assessed := c.Assess(candidate, task, avoided[candidate.Name])
		if c.Explained > 0 {
			compared = append(compared, Assessed{candidate, assessed})
		}
		if assessed.Exclusion != NotExcluded {
			suspect = suspect || assessed.Exclusion == ExcludedSuspect
			full = full || assessed.Exclusion == ExcludedFull
			continue
		}
		cost := assessed.Costs.Total()
		if regardless := c.rankOf(&assessed, cost-assessed.Costs.Interference); unseparated == nil || regardless.better(unseparatedRank) {
			unseparated, unseparatedRank = candidate, regardless
		}
		if ranked := c.rankOf(&assessed, cost); !found || ranked.better(bestRank) {
			best, bestRank, found = Choice{Candidate: candidate, Wait: assessed.Wait}, ranked, true
		}
	}
	best.Assessed = compared
	best.AwaitsTrial = !found && suspect
	best.Full = !found && full
	best.KeptApart = best.Candidate != unseparated
	return best, found
}
