// Command harness runs one case of the review: a small deployment of the project's own
// processes on loopback addresses, with stand-ins for clients, minions and the platform.
//
//	harness CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes.
const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

// scenario is one case. It returns what breaks the rule, a line each.
type scenario struct {
	routes []route
	run    func(c *cluster, trouble bool) ([]string, error)
}

var scenarios = map[string]scenario{
	"large-job":       {standardRoutes, runLargeJob},
	"counted-twice":   {standardRoutes, runCountedTwice},
	"cancel-not-told": {standardRoutes, runCancelNotTold},
	"own-crash":       {standardRoutes, runOwnCrash},
	"two-losses":      {standardRoutes, runTwoLosses},
}

// The routes of cjpa-figring: renewal checks, gift enrolments and address confirmations.
var standardRoutes = []route{
	{"r-3hwrr6x", "/lohu930/", 0, 3},
	{"r-73d3zji", "/pufi791/", 2, 4},
	{"r-9n73hh2", "/pule252/", 1, 4},
}

const (
	renewalChecks = "/lohu930/"
	giftEnrols    = "/pufi791/"
	addrConfirms  = "/pule252/"
)

// caseLimit bounds a case.
const caseLimit = 115 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	chosen, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitCannotRun
	}
	log, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	log.say("case %s, with the disruption: %v", name, trouble)
	c, err := newCluster(log, filepath.Join("target", "figring"), chosen.routes)
	if c != nil {
		defer c.end()
	}
	if err != nil {
		log.say("the case can't run: %v", err)
		return exitCannotRun
	}
	stop := time.AfterFunc(caseLimit, func() {
		log.say("the case took too long")
		c.end()
		os.Exit(exitCannotRun)
	})
	defer stop.Stop()
	broken, err := chosen.run(c, trouble)
	if err != nil {
		log.say("the case can't run: %v", err)
		return exitCannotRun
	}
	for _, line := range broken {
		log.say("BROKEN: %s", line)
	}
	log.say("result: %d breaches", len(broken))
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
