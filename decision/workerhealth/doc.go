// Package workerhealth tracks the health of one minion from how its runs end and
// how long they take. A minion on which runs of several jobs in a row fail, or
// several runs in a row stall, is suspect: it gets one trial task at a time
// until one succeeds, and more only while these run for long. Failures of one job
// count once, because a job that fails everywhere must not make a minion suspect.
// For minions that fail only some of their runs, with successes between, the
// package keeps the share of failures. It is meant for loads under which some
// workers fail all or many of the tasks that they start, at some tens of ends a
// second.
package workerhealth
