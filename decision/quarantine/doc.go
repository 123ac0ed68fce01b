// Package quarantine decides which tasks and routes are kept apart because minions
// crash under them. A task may crash every minion that starts it, and takes the runs
// beside it along. Tracker learns of each crash which runs were in progress and how old
// they were, and decides four things:
//
//   - How a task is started again: like any other, with time before and after it in
//     which its minion starts nothing else, or alone.
//   - Which tasks are poison: two minions have crashed under them, and at one of the
//     crashes no other run can have been the cause. Runs that were merely beside such a
//     task are never taken for poison.
//   - Which routes are confined: tasks of the route crash minions faster than these
//     return. They are then placed at a small share of the service's minions, and the
//     tasks of all other routes at the rest.
//   - Which tasks wait: while a confined route refuses jobs for want of room, those that
//     may have caused a crash leave it to jobs that have not been started yet.
//
// The package has no I/O and reads no clock. It answers for a load in which a tenth of a
// route's jobs are poison, several new ones a second, in a fleet of a dozen minions or
// more that are away for some seconds after a crash.
package quarantine
