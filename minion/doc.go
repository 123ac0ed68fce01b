// Package minion is a stand-in for the back end on a worker that runs tasks. A
// task is a sleep. The minion keeps its own ledger of starts, so that a test
// can tell what ran without asking figring.
//
// # Requests
//
//	POST /run  runs one task and answers when it has ended. Headers:
//	  Figring-Job           the job's key, required
//	  Figring-Task          the index of the task, required
//	  Figring-Attempt       the number of the attempt, 1 when absent
//	  Figring-Class         the kind of task
//	  Figring-Start-Before  time of this machine's wall clock in unix
//	                        nanoseconds: the task is not started later
//	POST /stop {"job":J,"task":N}  ends running tasks, answers {"stopped":N}
//
// A payload that is a JSON object may hold "runMs", "fail" and "output". Any
// other payload runs for the default time. Answers of /run:
//
//	200 the task ran; the body is "output", or the payload's size and digest
//	409 the task was stopped while it ran; the body is "stopped"
//	500 the task ran and failed
//	400 the request is wrong
//	412 it was later than Figring-Start-Before
//	413 the payload is too large
//	503 every slot is taken, or the minion is leaving
//
// The last four have the header "Figring-Not-Run: true": the task was not
// started. A task whose client goes away runs on.
//
// # Observation and control
//
//	GET /ledger    the starts as JSON lines, see Start; "?since=" leaves out
//	               starts before this time in unix nanoseconds
//	GET /counters  see Counts
//	GET /control   the settings in force, see Control
//	PUT /control   replaces them; an omitted field returns to the value that
//	               the minion was started with
package minion
