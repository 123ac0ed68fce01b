package execution

import (
	"slices"
	"time"

	"github.com/figring/figring/session"
)

const (
	// crashRetention is how long a crash is kept for entries that open a session later.
	crashRetention = 60 * time.Second
	// maxCrashes bounds the crashes that are kept, maxPoison the poison tasks.
	maxCrashes = 16
	maxPoison  = 256
)

// crash is a crash of the minion.
type crash struct {
	number uint64
	at     time.Time
	runs   []session.CrashedRun
}

// recordCrash records that the minion crashed while runs were in progress or may have
// been. Every entry is told of it.
func (c *Core) recordCrash(now time.Time, runs []session.CrashedRun) {
	if len(runs) == 0 {
		return
	}
	c.newestNews++
	c.crashes = append(c.crashes, crash{number: c.newestNews, at: now, runs: runs})
	c.crashes = slices.DeleteFunc(c.crashes, func(old crash) bool { return now.Sub(old.at) > crashRetention })
	c.crashes = c.crashes[max(len(c.crashes)-maxCrashes, 0):]
	youngest := slices.MinFunc(runs, func(a, b session.CrashedRun) int { return int(a.Age - b.Age) })
	c.logEvent(LogEvent{Kind: LogMinionCrashed, Runs: len(runs), Youngest: youngest.Age})
	c.notifyAll()
}

// notifyAll wakes the polls of all entries, for news that all of them are told.
func (c *Core) notifyAll() {
	for name := range c.entries {
		c.emit(NotifyEntry{Entry: name, Event: true})
	}
}

// CrashesAfter returns the crashes with higher numbers.
func (c *Core) CrashesAfter(now time.Time, number uint64) []session.Crash {
	var newer []session.Crash
	for _, one := range c.crashes {
		if one.number > number {
			newer = append(newer, session.Crash{Number: one.number, Age: now.Sub(one.at), Runs: one.runs})
		}
	}
	return newer
}
