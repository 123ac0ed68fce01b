package heldjob

// The wait factor of a job is the multiple of its expected wait that admission
// assumes: tasks that arrive later but are due earlier overtake it in the queues of
// the sidecars. While capacity is scarce and classes have an order, it follows from the
// share of the capacity that more urgent classes take.
const (
	// equalPriorityWaitFactor applies if all routes of a service have the same priority.
	equalPriorityWaitFactor = 1.8
	// urgentWaitFactor applies to the most urgent routes of a service, whose jobs are
	// seldom overtaken.
	urgentWaitFactor = 1.0
	// otherWaitFactor applies to all other routes: under overload their jobs are the
	// ones to refuse.
	otherWaitFactor = 2.5
)

// waitFactor returns the wait factor for the priority of the job's route among the
// routes of its service.
func (c *Core) waitFactor(job *job) float64 {
	if factor, ok := c.classLoad.WaitFactor(classOf(job)); ok {
		return factor
	}
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
