package placement

import "time"

const (
	// runTimeWeight is multiplied by the expected run time. With its whole weight the
	// tasks crowd the fastest minions, and wait there longer than expected. The time by
	// which a task is expected to miss its job's objective counts whole.
	runTimeWeight = 0.25
	// otherZoneRunShare is the extra cost of another availability zone as a share of the
	// expected run time. It keeps tasks from leaving a zone for the errors of the
	// estimates.
	otherZoneRunShare = 0.05
)

// Exclusion is the reason why a candidate may not get a task.
type Exclusion string

// The exclusions; NotExcluded is that of a candidate that may get the task.
const (
	NotExcluded      Exclusion = ""
	ExcludedRefuses  Exclusion = "refuses"
	ExcludedService  Exclusion = "service"
	ExcludedZone     Exclusion = "zone"
	ExcludedConfined Exclusion = "confined"
	ExcludedLabel    Exclusion = "label"
	ExcludedAtLimit  Exclusion = "step_limit"
	ExcludedSuspect  Exclusion = "suspect"
	ExcludedSize     Exclusion = "size"
	ExcludedFull     Exclusion = "full"
)

// Assessment says how well a candidate suits a task.
type Assessment struct {
	// Exclusion is why the candidate may not get the task. The other fields are set
	// only if it may.
	Exclusion Exclusion
	// Wait is the expected time until the task starts.
	Wait time.Duration
	// RunTime is the expected run time there; 0 unless run times are estimated.
	RunTime time.Duration
	Costs   Costs
}

// Assessed is a candidate with its assessment.
type Assessed struct {
	Candidate *Candidate
	Assessment
}

// Costs are the parts of the cost of a candidate. The candidate with the least sum is
// chosen.
type Costs struct {
	// Wait and Run are the expected wait, and what is added for the speed of the minion.
	Wait, Run time.Duration
	// Zone and Rack are added for a minion in another availability zone and rack.
	Zone, Rack time.Duration
	// Together is negative for a minion that has other tasks of the job.
	Together time.Duration
	// Utilization is added for the part of the minion that is in use.
	Utilization time.Duration
	// Jitter is random.
	Jitter time.Duration
	// Late is added if the wait exceeds the task's MaxWait.
	Late time.Duration
	// Avoided is added for a candidate that the caller of Choose wants avoided.
	Avoided time.Duration
	// Failure is the time that is expected to be lost by a failure of the run.
	Failure time.Duration
	// Interference is what the task and the runs on the minion slow each other down.
	Interference time.Duration
}

// Total returns the sum of the costs.
func (c *Costs) Total() time.Duration {
	return c.Wait + c.Run + c.Zone + c.Rack + c.Together + c.Utilization + c.Jitter + c.Late + c.Avoided + c.Failure + c.Interference
}

// Assess says how well the candidate suits the task.
func (c *Chooser) Assess(candidate *Candidate, task *Task, avoided bool) Assessment {
	if exclusion := c.exclusion(candidate, task); exclusion != NotExcluded {
		return Assessment{Exclusion: exclusion}
	}
	need := candidate.State.Minion.Occupied(task.Need)
	assessed := Assessment{Wait: candidate.expectedWait(need, task.QueueSlack())}
	if task.JobSidecars[candidate.Name] {
		// The tasks of one job don't wait for each other's pause.
		assessed.Wait = max(assessed.Wait-task.Pause, 0)
	}
	c.addCosts(&assessed, candidate, task, avoided)
	return assessed
}

// exclusion returns why the candidate may not get the task, regardless of how long the
// task would wait there.
func (c *Chooser) exclusion(candidate *Candidate, task *Task) Exclusion {
	state := &candidate.State
	switch {
	case !state.Accepting:
		return ExcludedRefuses
	case state.Minion.Service != task.Service:
		return ExcludedService
	case c.Evacuated(candidate.Zone):
		return ExcludedZone
	case task.Allowed != nil && !task.Allowed(candidate.Name):
		return ExcludedConfined
	case !state.Minion.HasLabel(task.Label):
		return ExcludedLabel
	case task.AtStepLimit != nil && task.AtStepLimit(candidate.Name):
		return ExcludedAtLimit
	case state.Suspect && !(task.trialAllowed && candidate.mayTry(task.Failures)):
		return ExcludedSuspect
	case !state.Minion.Capacity.Fits(task.Need):
		return ExcludedSize
	case candidate.Tasks >= maxTasks:
		return ExcludedFull
	}
	return NotExcluded
}

// addCosts sets the costs of a candidate that may get the task.
func (c *Chooser) addCosts(assessed *Assessment, candidate *Candidate, task *Task, avoided bool) {
	state := &candidate.State
	costs := &assessed.Costs
	costs.Wait = assessed.Wait
	if c.Interference != nil && c.Interference.Any {
		costs.Interference = c.interferenceCost(candidate, task)
	}
	if c.EstimateRunTimes {
		assessed.RunTime = candidate.expectedRunTime(task)
		costs.Run = runTimeCosts(assessed, task)
	} else {
		costs.Run = paceCosts(state.Pace, task.Estimate)
	}
	if candidate.Zone != c.Zone {
		costs.Zone = otherZoneCost + time.Duration(otherZoneRunShare*float64(assessed.RunTime))
	}
	if task.Rack != "" && !state.Minion.HasLabel(task.Rack) {
		costs.Rack = time.Duration(otherRackFactor * float64(task.Estimate))
	}
	if task.JobSidecars[candidate.Name] {
		costs.Together = -colocationBonus
		if task.Together {
			costs.Together -= togetherBonus
		}
	}
	capacity := float64(state.Minion.Capacity.MilliCPU)
	costs.Utilization = time.Duration(float64(utilizationCost) * (1 - float64(candidate.freeAfterPending().MilliCPU)/capacity))
	costs.Jitter = time.Duration(c.Random.Int64N(int64(maxJitter)))
	if assessed.Wait > task.MaxWait {
		costs.Late = lateStartCost
	}
	if avoided {
		costs.Avoided = avoidedCost
	}
	if c.EstimateRunTimes && !state.Suspect {
		// A suspect minion gets its trial tasks whatever its failures.
		costs.Failure = failureCost(candidate.failureExcess, task, assessed.RunTime)
	}
}

// paceCosts returns the cost of the speed of a minion where run times are not estimated.
func paceCosts(pace float64, declared time.Duration) time.Duration {
	cost := time.Duration(float64(paceCost) * pace)
	if pace > maxNormalPace {
		cost += time.Duration(float64(declared) * (pace - 1))
	}
	return cost
}

// runTimeCosts returns the cost of the expected run time and of the end that it leads to.
func runTimeCosts(assessed *Assessment, task *Task) time.Duration {
	cost := time.Duration(runTimeWeight * float64(assessed.RunTime))
	late := assessed.Wait + assessed.RunTime - task.Estimate - task.Slack
	return cost + max(late, 0)
}

// expectedRunTime returns the expected run time of the task on the candidate's minion.
func (c *Candidate) expectedRunTime(task *Task) time.Duration {
	ratio, ok := c.RunTimes.Ratio(task.Route)
	if !ok && !c.RunTimes.Known() {
		// The sidecar's build reports the pace over all routes only.
		ratio = c.State.Pace
	}
	return time.Duration(ratio * float64(task.Estimate))
}
