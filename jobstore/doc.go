// Package jobstore stores accepted jobs in the platform's table, so that they
// survive the failure of any process: the job itself, its progress, and how it
// ended.
//
// A job has up to three rows in the partition selected by the hash of its ID:
//
//	spec/ID  the job as accepted; written once
//	open/ID  its owner and progress, until the job ends
//	done/ID  how it ended
//
// Every write of an open job is conditional on the version of open/ID. So only
// one entry owns the job at a time, and the next write of an owner that was
// replaced fails. The writes of many jobs share a transaction: see Writer.
package jobstore
