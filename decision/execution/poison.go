package execution

import (
	"slices"
	"time"

	"github.com/figring/figring/session"
)

// poisonTask is a task that an entry has found to be poison.
type poisonTask struct {
	reported session.PoisonTask
	at       time.Time
}

// RecordPoison keeps tasks that an entry has found to be poison, for all other entries.
func (c *Core) RecordPoison(now time.Time, tasks []session.PoisonTask) {
	for _, task := range tasks {
		if slices.ContainsFunc(c.poison, func(known poisonTask) bool { return known.reported.Task == task.Task }) {
			continue
		}
		c.newestNews++
		task.Number = c.newestNews
		c.poison = append(c.poison, poisonTask{reported: task, at: now.Add(-task.Age)})
	}
	c.poison = slices.DeleteFunc(c.poison, func(old poisonTask) bool { return now.Sub(old.at) > crashRetention })
	c.poison = c.poison[max(len(c.poison)-maxPoison, 0):]
	c.notifyAll()
}

// PoisonAfter returns the poison tasks with higher numbers.
func (c *Core) PoisonAfter(now time.Time, number uint64) []session.PoisonTask {
	var newer []session.PoisonTask
	for _, one := range c.poison {
		if one.reported.Number > number {
			reported := one.reported
			reported.Age = now.Sub(one.at)
			newer = append(newer, reported)
		}
	}
	return newer
}
