// Command review3 plays the cases of the third review: it starts the programs of the system
// as separate processes between stand-ins, causes one disruption, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/figring/figring/platform/standin"
)

// The exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// scenario is one case. It returns what breaks the rule, or an error if it could not run.
type scenario func(binary string, record *record, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"old-end":     oldEnd,
	"zone-cut":    zoneCut,
	"notice":      notice,
	"queue-head":  queueHead,
	"two-ends":    twoEnds,
	"cancel-race": cancelRace,
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of the case")
	binary := flag.String("binary", "target/figring", "program of the system")
	flag.Parse()
	play, ok := scenarios[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(cannotRun)
	}
	path, err := filepath.Abs(*binary)
	if err == nil {
		_, err = os.Stat(path)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	written, err := newRecord(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	written.write("case %s, with the disruption: %t", *name, trouble)
	broken, err := play(path, written, trouble)
	switch {
	case err != nil:
		written.write("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(cannotRun)
	case len(broken) > 0:
		for _, line := range broken {
			written.write("BROKEN: %s", line)
			fmt.Println("broken:", line)
		}
		os.Exit(ruleBroken)
	}
	written.write("the rule held")
	fmt.Println("held")
	os.Exit(ruleHeld)
}

// overlaps returns the tasks of which two runs were active at the same time on minions that
// are up.
func (w *world) overlaps() []string {
	var found []string
	entries := w.ledger.Entries()
	byTask := make(map[string][]standin.Entry)
	for _, one := range entries {
		for _, other := range byTask[one.Task] {
			end := other.Ended
			if end.IsZero() {
				end = time.Now()
			}
			ownEnd := one.Ended
			if ownEnd.IsZero() {
				ownEnd = time.Now()
			}
			until := end
			if ownEnd.Before(until) {
				until = ownEnd
			}
			if one.Started.Before(until) {
				found = append(found, fmt.Sprintf("TWICE: %s run %d on %s from %.3f to %.3f s (%s), and run %d on %s from %.3f to %.3f s (%s)",
					one.Task, other.Run, other.Minion, w.record.at(other.Started), w.record.at(end), other.Outcome,
					one.Run, one.Minion, w.record.at(one.Started), w.record.at(ownEnd), one.Outcome))
			}
		}
		byTask[one.Task] = append(byTask[one.Task], one)
	}
	return found
}

// startsAfterDone returns the tasks that were started after a run of them had ended done
// whose end was taken note of, without a lapse of the lease between the two.
func (w *world) startsAfterDone() []string {
	var found []string
	entries := w.ledger.Entries()
	for name, watching := range w.watchers {
		for _, done := range watching.notedDone() {
			var ended time.Time
			for _, one := range entries {
				if one.Task == done.task && int64(one.Run) == done.run && one.Minion == "i-"+name && one.Outcome == "done" {
					ended = one.Ended
				}
			}
			for _, one := range entries {
				if !ended.IsZero() && one.Task == done.task && one.Started.After(ended) {
					found = append(found, fmt.Sprintf("TWICE: %s run %d ended done on i-%s at %.3f s, was started again as run %d on %s at %.3f s (%s), and the end done was taken note of at %.3f s, with no lapse of the lease between",
						done.task, done.run, name, w.record.at(ended), one.Run, one.Minion, w.record.at(one.Started), one.Outcome, w.record.at(done.noted)))
				}
			}
		}
	}
	return found
}

// recordRuns writes all runs to the record.
func (w *world) recordRuns() {
	for _, one := range w.ledger.Entries() {
		w.record.writeAt(one.Started, "run: %s run %d on %s until %.3f s: %s", one.Task, one.Run, one.Minion, w.record.at(one.Ended), one.Outcome)
	}
}

// smallDeployment returns the machines of a small site: three edge machines and eleven side
// machines in three zones.
func smallDeployment() []*machine {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var machines []*machine
	for i, zone := range zones {
		machines = append(machines, &machine{name: fmt.Sprintf("edge-%c", 'a'+i), zone: zone, entry: true})
	}
	for i := range 11 {
		machines = append(machines, &machine{
			name: fmt.Sprintf("side-%c%d", 'a'+i%3, i/3+1), zone: zones[i%3], labels: []string{"a", fmt.Sprintf("r1-%d", i/3+1)},
		})
	}
	return machines
}

func route(attempts int, slo time.Duration) []map[string]any {
	return []map[string]any{{
		"name": "q", "host": queueHost, "prefix": queuePrefix, "service": serviceName, "priority": 1,
		"attempts": attempts, "stretch": 1.6, "slo_ms": slo.Milliseconds(),
	}}
}
