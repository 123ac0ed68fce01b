// Package admission decides which jobs an entry takes and whose task is next.
// It is a pure decision: it does no I/O, takes no lock and reads no clock. One
// goroutine owns a Queue.
//
// Callers share the targets by start-time fair queueing (Goyal, Vin and Cheng,
// "Start-time Fair Queueing", SIGCOMM 1996) with a task as the unit of service:
// each caller with work has a start tag that grows by 1/weight with each task,
// and the least tag is served. It was chosen over deficit round robin because
// it is fair over any stretch of time, not only over whole rounds, and because
// the tag of a caller without work costs nothing.
//
// Within one caller, the job with the fewest tasks left goes first, so that the
// last tasks of a job, which decide about its response time, do not wait for
// those of a large one that came later. Pure shortest-remaining-first would
// starve large jobs; so a job's place is its time of admission plus
// delayPerTask for each of its remaining tasks: of two jobs, the older one is
// overtaken only by one that is smaller by more than their distance in time.
//
// Every refusal is given before anything of the job was claimed or dispatched,
// and so has the outcome not_run.
package admission
