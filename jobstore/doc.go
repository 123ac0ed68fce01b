// Package jobstore keeps accepted jobs in the platform's table, so that they
// outlive every process: what a job is, how far it has come, and how it ended.
//
// A job has up to three rows in the partition that its identity hashes to:
//
//	spec/ID  the job as it was accepted; written once
//	open/ID  its owner and progress, while it has not ended
//	done/ID  how it ended
//
// Every write of a job is conditional on the version of open/ID, so that only
// one entry owns it at a time and an owner that was replaced finds out with its
// next write. The writes of many jobs share a transaction: see Writer.
package jobstore
