// Package admission decides which jobs an entry admits and which task is
// dispatched next. It does no I/O, takes no locks and does not read the clock.
// A Queue must be used from a single goroutine.
//
// Callers share the targets by start-time fair queueing (Goyal, Vin and Cheng,
// "Start-time Fair Queueing", SIGCOMM 1996) with a task as the unit of service:
// each caller with ready tasks has a start tag that grows by 1/weight with each
// task, and the caller with the lowest tag is served. It was chosen over deficit
// round robin because it is fair over any interval, not only over whole rounds,
// and because an idle caller costs nothing.
//
// Within one caller, jobs with few remaining tasks go first, so that the last
// tasks of a job, which determine its response time, do not wait for those of a
// large job that came later. Pure shortest-remaining-first would starve large
// jobs. The order key of a job is therefore its time of admission plus
// delayPerTask for each remaining task: a later job overtakes an earlier one only
// if delayPerTask times the difference in remaining tasks exceeds the time between
// their admissions.
//
// A new job is refused before any of its tasks is claimed or dispatched, so the
// outcome of the refusal is not_run. A job that is already in the queue is
// refused with the outcome in_progress.
package admission
