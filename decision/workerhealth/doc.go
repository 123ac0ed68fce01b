// Package workerhealth judges one minion by how its runs end and how long they
// take. A minion that fails or stalls the runs of several jobs in a row is
// suspect: it gets one trial task at a time until one succeeds. A job that
// fails everywhere must not make a minion suspect, so ends of one job count
// once. It answers the load on which some workers fail all that they start.
package workerhealth
