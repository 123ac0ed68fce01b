package minion

import "sync"

// task is one running task.
type task struct {
	job   string
	index int
	// stop is closed to end the task early.
	stop chan struct{}
	once sync.Once
}

func (t *task) end() {
	t.once.Do(func() { close(t.stop) })
}

// admission is the verdict on a task that asks for a slot.
type admission int

const (
	admitted admission = iota
	refusedSlots
	refusedLeaving
)

// slots holds the running tasks.
type slots struct {
	limit int

	mu      sync.Mutex
	running map[*task]struct{}
	leaving bool
	peak    int
	// empty is closed when the minion is leaving and nothing runs.
	empty chan struct{}
}

func newSlots(limit int) *slots {
	return &slots{limit: limit, running: make(map[*task]struct{}), empty: make(chan struct{})}
}

// take gives one a slot when there is one.
func (s *slots) take(one *task) admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return refusedLeaving
	}
	if len(s.running) >= s.limit {
		return refusedSlots
	}
	s.running[one] = struct{}{}
	s.peak = max(s.peak, len(s.running))
	return admitted
}

func (s *slots) give(one *task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, one)
	s.closeIfEmpty()
}

// leave makes every later take fail. It returns a channel that is closed when
// nothing runs any more. It is called once.
func (s *slots) leave() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.closeIfEmpty()
	return s.empty
}

func (s *slots) closeIfEmpty() {
	if !s.leaving || len(s.running) > 0 {
		return
	}
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// stop ends the running tasks of that job and index, and returns their number.
func (s *slots) stop(job string, index int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	stopped := 0
	for one := range s.running {
		if one.job == job && one.index == index {
			one.end()
			stopped++
		}
	}
	return stopped
}

func (s *slots) load() (running, peak int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.running)), int64(s.peak)
}
