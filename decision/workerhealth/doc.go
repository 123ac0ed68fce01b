// Package workerhealth tracks the health of one minion from how its runs end and
// how long they take. A minion on which runs of several jobs in a row fail, or
// several runs in a row stall, is suspect: it gets one trial task at a time
// until one succeeds. Failures of one job count once, because a job that fails
// everywhere must not make a minion suspect. The package is meant for loads
// under which some workers fail every task that they start.
package workerhealth
