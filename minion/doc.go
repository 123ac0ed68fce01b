// Package minion simulates the back end that runs tasks on a worker. Each task
// only sleeps for its run time. The minion records task starts in a ledger of its
// own, so that tests can check what ran without relying on figring's records.
//
// # Requests
//
//	POST /run  runs one task and responds when it has ended. Headers:
//	  Figring-Job           the job's key, required
//	  Figring-Task          the index of the task, required
//	  Figring-Attempt       the number of the attempt, 1 when absent
//	  Figring-Class         the kind of task
//	  Figring-Start-Before  latest start time, as Unix nanoseconds of
//	                        this machine's wall clock
//	POST /stop {"job":J,"task":N}  stops running tasks, responds {"stopped":N}
//
// A payload that is a JSON object may contain "runMs", "fail" and "output". A
// task with any other payload runs for the default run time. Responses of /run:
//
//	200 the task ran; the body is "output", or the payload's size and digest
//	409 the task was stopped while it ran; the body is "stopped"
//	500 the task ran and failed
//	400 the request is invalid
//	412 the time in Figring-Start-Before has passed
//	413 the payload is too large
//	503 every slot is in use, the minion is leaving, or the start can't be
//	    written to the ledger file
//
// Responses with the last four statuses have the header "Figring-Not-Run: true",
// which means that the task was not started. A task continues to run after its
// client disconnects.
//
// # Observation and control
//
//	GET /ledger    the task starts as JSON lines, see Start; "?since=" omits
//	               starts before this time in Unix nanoseconds
//	GET /counters  see Counts
//	GET /control   the current settings, see Control
//	PUT /control   replaces them; an omitted field is reset to the value that
//	               the minion was started with
package minion
