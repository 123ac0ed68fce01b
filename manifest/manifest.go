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

// Route sends the jobs of one host and path prefix to a service.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority orders routes; 0 comes first.
	Priority int
	// Attempts is how often a task may fail before its job has failed.
	Attempts int
	// Timeout bounds a request; 0 means no bound but the caller's own.
	Timeout time.Duration
	// Stretch and Objective give the latency objective of a job: Stretch times
	// its longest chain of work, and Objective more.
	Stretch   float64
	Objective time.Duration
	// Advised means that only some minions may run a step of this route, and
	// that another service knows which.
	Advised bool
}

// Service is a pool of minions.
type Service struct {
	Name string
	// EnforcesCapacity means that the minions refuse what does not fit.
	EnforcesCapacity bool
	MaxConns         int
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Match returns the route of the host with the longest prefix of path.
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
