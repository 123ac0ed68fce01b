package manifest

import (
	"strings"
	"time"
)

// Manifest is one version of the operators' configuration.
type Manifest struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route assigns the jobs of one host and path prefix to a service.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority is the priority of the route's jobs; 0 is the highest.
	Priority int
	// Attempts is the number of failures of a task after which its job fails.
	Attempts int
	// Timeout bounds a request; 0 means that only the caller's timeout applies.
	Timeout time.Duration
	// Stretch and Objective define the latency objective of a job: Stretch times
	// the length of its critical path, plus Objective.
	Stretch   float64
	Objective time.Duration
	// Advised means that only some minions may run a step of this route, and that
	// another service determines which.
	Advised bool
}

// Service is a pool of minions.
type Service struct {
	Name string
	// EnforcesCapacity means that the minions reject runs that exceed their free
	// capacity.
	EnforcesCapacity bool
	MaxConns         int
}

// Limits bounds the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Match returns the route of the host with the longest matching path prefix, and
// whether there is one.
func (m *Manifest) Match(host, path string) (Route, bool) {
	best, found := Route{}, false
	for _, route := range m.Routes {
		if route.Host != host || !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if !found || len(route.Prefix) > len(best.Prefix) {
			best, found = route, true
		}
	}
	return best, found
}
