// Package jobstore stores accepted jobs in the platform's table, so that they
// survive the failure of any process: the job itself, its progress, and how it
// ended.
//
// A job has these rows in the partition selected by the hash of its ID:
//
//	spec/ID    the job as accepted; written once
//	part/ID/N  the parts of a job that does not fit into spec/ID
//	open/ID    its owner and progress, until the job ends
//	done/ID    how it ended
//
// Every write of an open job is conditional on the version of open/ID. So only
// one entry owns the job at a time, and the next write of an owner that was
// replaced fails. The writes of many jobs share a transaction: see Writer.
//
// The table rejects rows and transactions above its limits, and would at each further
// attempt. A job that could exceed them is rejected before it is stored; a change that
// the table rejects nevertheless fails alone, and no other change waits for it.
package jobstore
