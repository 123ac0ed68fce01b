package heldjob

// The caution is how much longer than expected the wait of a job is taken to be
// when it is admitted: what comes later and is due earlier passes it in the
// queues.
const (
	// equalPriorityWaitFactor is for services whose routes all have one priority.
	equalPriorityWaitFactor = 1.8
	// urgentWaitFactor is for the most urgent routes of a service, whose jobs are
	// passed by few.
	urgentWaitFactor = 1.0
	// otherWaitFactor is for all other routes: where room is short, their jobs are
	// the ones to be refused.
	otherWaitFactor = 2.5
)

// waitFactor returns the caution for a job.
func (c *Core) waitFactor(job *job) float64 {
	lowest, highest := job.route.Priority, job.route.Priority
	for _, route := range c.snapshot.Manifest.Routes {
		if route.Service == job.route.Service {
			lowest = min(lowest, route.Priority)
			highest = max(highest, route.Priority)
		}
	}
	switch {
	case lowest == highest:
		return equalPriorityWaitFactor
	case job.route.Priority == lowest:
		return urgentWaitFactor
	}
	return otherWaitFactor
}
