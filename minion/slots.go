package minion

import "sync"

// task is a task that holds a slot or requests one.
type task struct {
	job   string
	index int
	// stop is closed to stop the task before its run time has passed.
	stop chan struct{}
	once sync.Once
}

func (t *task) requestStop() {
	t.once.Do(func() { close(t.stop) })
}

// admission is the result of requesting a slot for a task.
type admission int

const (
	admitted admission = iota
	refusedSlots
	refusedLeaving
)

// slots limits the number of concurrent tasks and tracks the running ones.
type slots struct {
	limit int

	mu      sync.Mutex
	running map[*task]struct{}
	leaving bool
	peak    int
	// drained is closed when the minion is leaving and no task is running.
	drained chan struct{}
}

func newSlots(limit int) *slots {
	return &slots{limit: limit, running: make(map[*task]struct{}), drained: make(chan struct{})}
}

// acquire assigns a slot to t if the minion is not leaving and a slot is free.
func (s *slots) acquire(t *task) admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return refusedLeaving
	}
	if len(s.running) >= s.limit {
		return refusedSlots
	}
	s.running[t] = struct{}{}
	s.peak = max(s.peak, len(s.running))
	return admitted
}

// release releases the slot of t.
func (s *slots) release(t *task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, t)
	s.closeIfDrained()
}

// leave makes later requests for a slot fail. It returns a channel that is closed
// when no task is running. It must be called only once.
func (s *slots) leave() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.closeIfDrained()
	return s.drained
}

func (s *slots) closeIfDrained() {
	if !s.leaving || len(s.running) > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// stop stops the running tasks with this job and index, and returns how many.
func (s *slots) stop(job string, index int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	stopped := 0
	for t := range s.running {
		if t.job == job && t.index == index {
			t.requestStop()
			stopped++
		}
	}
	return stopped
}

func (s *slots) counts() (running, peak int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.running)), int64(s.peak)
}
