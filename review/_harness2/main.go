// Command review-2 plays the cases of the review that are scripts, each on a small
// deployment of the project's own programs.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// caseLimit is the time after which a case is given up.
const caseLimit = 115 * time.Second

var cases = map[string]func(*record, bool) int{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(failed)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(failed)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	go giveUp()
	r := newRecord()
	result := play(r, trouble)
	r.note("RESULT %s", map[int]string{held: "the rule held", broken: "the rule was broken", failed: "the case could not run"}[result])
	if err := r.write(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		result = failed
	}
	os.Exit(result)
}

// running is the cluster of the case.
var running struct {
	sync.Mutex
	cluster *cluster
}

// giveUp ends the processes of the case after a signal, or when it takes too long.
func giveUp() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(caseLimit):
	}
	running.Lock()
	defer running.Unlock()
	if running.cluster != nil {
		running.cluster.end()
	}
	os.Exit(failed)
}
